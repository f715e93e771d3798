/**
 * The messages to be sent on one stream. Those of one turn of the event loop go in
 * one frame, as a frame costs the same whatever it carries. Their lengths count as
 * unsent until the frame has left, so that a peer that does not read takes a bounded
 * amount of memory.
 */
const maxFrameLen = 64 * 1024;
const maxUnsentLen = 1024 * 1024;
/** Counted for each message besides its body, in bytes. */
const itemOverheadLen = 64;

type Item = {readonly body?: Uint8Array | null}; // eslint-disable-line @typescript-eslint/no-restricted-types

/** Writes one frame; calls `onSent` once it has left. */
export type WriteFrame<T> = (items: T[], onSent: () => void) => void;

export class Outbox<T extends Item> {
	#items: T[] = [];
	#frameLen = 0;
	#unsentLen = 0;

	constructor(private readonly writeFrame: WriteFrame<T>) {}

	/** Whether the unsent bytes have reached the limit; nothing should be added until some have left. */
	get full(): boolean {
		return this.#unsentLen >= maxUnsentLen;
	}

	add(item: T): void {
		const len = itemOverheadLen + (item.body?.length ?? 0);
		this.#unsentLen += len;
		this.#frameLen += len;
		this.#items.push(item);
		if (this.#frameLen >= maxFrameLen) {
			this.#send();
		} else if (this.#items.length === 1) {
			queueMicrotask(() => {
				this.#send();
			});
		}
	}

	#send(): void {
		if (this.#items.length === 0) {
			return;
		}

		const len = this.#frameLen;
		const items = this.#items;
		this.#items = [];
		this.#frameLen = 0;
		this.writeFrame(items, () => {
			this.#unsentLen -= len;
		});
	}
}
