/** One direction of one connection over a link: it passes bytes on, drops, delays them, or holds them until the fault ends. */
import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';

/** The faults in force for one direction. */
export type DirectionFaults = {
	readonly silent: boolean;
	readonly held: boolean;
	/** Bytes are held back from the chunk that contains this text on; no effect if empty. */
	readonly holdAt: string;
	readonly delayMs: number;
};

export class Passage {
	readonly #held: Uint8Array[] = [];
	#holdTextSeen = false;
	#isSilent = false;
	#closed = false;

	constructor(
		source: Socket,
		private readonly sink: Socket,
		private readonly faults: () => DirectionFaults,
	) {
		source.on('data', (bytes) => {
			this.#receive(bytes);
		});
		source.on('error', () => {
			source.destroy();
		});
		source.on('close', () => {
			this.#closed = true;
			this.release();
		});
	}

	/** Whether bytes are held back. */
	get holds(): boolean {
		return this.#held.length > 0;
	}

	/** Drops all bytes from now on, and passes no end on. */
	silence(): void {
		this.#isSilent = true;
	}

	/** Sends the held bytes on, also if their sender has closed by then, unless a fault still holds them. */
	release(): void {
		if (this.#isSilent) {
			return;
		}

		const {held, holdAt, delayMs} = this.faults();
		this.#holdTextSeen &&= holdAt !== '';
		if (held || this.#holdTextSeen) {
			return;
		}

		for (const bytes of this.#held.splice(0)) {
			this.sink.write(bytes);
		}

		if (this.#closed) {
			// Delayed bytes must still arrive before the end.
			setTimeout(() => {
				this.sink.destroySoon();
			}, delayMs);
		}
	}

	#receive(bytes: Uint8Array): void {
		const {silent, held, holdAt, delayMs} = this.faults();
		if (silent || this.#isSilent) {
			return;
		}

		this.#holdTextSeen ||= holdAt !== '' && Buffer.from(bytes).includes(holdAt);
		if (held || this.#holdTextSeen) {
			this.#held.push(bytes);
		} else if (delayMs === 0) {
			this.sink.write(bytes);
		} else {
			setTimeout(() => this.sink.write(bytes), delayMs);
		}
	}
}
