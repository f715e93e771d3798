/**
 * A request's body as it passes through the daemon. Its first part, of limited
 * length, is buffered, so that a short body can be sent again; the rest is streamed
 * at the server's pace and can be sent only once.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type BufferLease} from '@kingcuproute/core';

/** The body is longer than `maxLen`. */
export class BodyTooLong extends Error {}

/** A body as undici accepts it. */
export type BodySource = Uint8Array | AsyncIterable<Uint8Array> | null; // eslint-disable-line @typescript-eslint/no-restricted-types

/** Limits of a body, in bytes. */
export type BodyBounds = {
	/** Longest part to buffer. */
	readonly replayLen: number;
	readonly maxLen: number;
	/** The memory for the buffered part. */
	readonly lease: BufferLease;
};

export class RequestBody {
	/** Reads the whole body, or until more than `replayLen` bytes have arrived or `lease` has no room for more. */
	static async read(
		req: IncomingMessage,
		{replayLen, maxLen, lease}: BodyBounds,
	): Promise<RequestBody> {
		const rest = req.iterator({
			destroyOnReturn: false,
		}) as AsyncIterator<Uint8Array, undefined>;
		const parts: Uint8Array[] = [];
		let len = 0;
		let ended = false;
		let hasRoom = true;
		while (!ended && hasRoom && len <= replayLen) {
			const next = await rest.next();
			if (next.done) {
				ended = true;
			} else {
				parts.push(next.value);
				len += next.value.length;
				hasRoom = lease.tryReserve(next.value.length);
			}
		}

		return new RequestBody(Buffer.concat(parts), ended, rest, maxLen);
	}

	/**
	 * Reads and discards the rest of a body, so that the caller can finish sending and
	 * read its answer.
	 */
	static drop(req: IncomingMessage): void {
		req.removeAllListeners('readable');
		req.resume();
	}

	#streamed = false;

	private constructor(
		/** The first part, or the whole body. */
		readonly first: Uint8Array,
		private readonly ended: boolean,
		private readonly rest: AsyncIterator<Uint8Array, undefined>,
		private readonly maxLen: number,
	) {}

	/** Whether the whole body can still be sent: it is buffered, or was not sent yet. */
	get replayable(): boolean {
		return this.ended || !this.#streamed;
	}

	/** Whether the whole body is buffered, so that several attempts can send it at once. */
	get isBuffered(): boolean {
		return this.ended;
	}

	/** The body for one attempt; call it only while `replayable`. */
	source(): BodySource {
		if (this.ended) {
			return this.first.length > 0 ? this.first : null;
		}

		return this.#stream();
	}

	async *#stream(): AsyncIterable<Uint8Array> {
		this.#streamed = true;
		let len = this.first.length;
		yield this.first;
		for (;;) {
			const next = await this.rest.next();
			if (next.done) {
				return;
			}

			len += next.value.length;
			if (len > this.maxLen) {
				throw new BodyTooLong(`body longer than ${this.maxLen} bytes`);
			}

			yield next.value;
		}
	}
}
