/** A buffer that stores many small parts in few blocks of memory. */
import {Buffer} from 'node:buffer';

/** The length of a block shared by small parts, in bytes. A longer part gets a block of its own. */
const maxBlockLen = 16_384;

export class HeldBytes {
	readonly #full: Uint8Array[] = [];
	#block = Buffer.alloc(0);
	/** Bytes used in the newest block. */
	#used = 0;
	#len = 0;

	get len(): number {
		return this.#len;
	}

	/** All bytes added, in order. */
	get blocks(): readonly Uint8Array[] {
		return [...this.#full, this.#block.subarray(0, this.#used)];
	}

	add(part: Uint8Array): void {
		if (this.#used + part.length > this.#block.length) {
			this.#full.push(this.#block.subarray(0, this.#used));
			const blockLen = Math.max(part.length, Math.min(this.#len, maxBlockLen));
			this.#block = Buffer.allocUnsafe(blockLen);
			this.#used = 0;
		}

		this.#block.set(part, this.#used);
		this.#used += part.length;
		this.#len += part.length;
	}
}
