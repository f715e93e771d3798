/**
 * The memory that a daemon may use for bodies of requests and answers in transit, over
 * all callers. Answers the load of many callers that read or send slowly, and of long
 * bodies: while there is room, bodies are buffered whole, so that a request can be
 * retried; without room they are passed on as they arrive, at the pace of the slower side.
 */
export class BufferBudget {
	#usedLen = 0;

	/** `maxLen` is in bytes. */
	constructor(private readonly maxLen: number) {}

	/** Reserves `len` bytes; false if there is no room for them. */
	tryReserve(len: number): boolean {
		if (this.#usedLen + len > this.maxLen) {
			return false;
		}

		this.#usedLen += len;
		return true;
	}

	/** Returns `len` bytes that were reserved. */
	release(len: number): void {
		this.#usedLen -= len;
	}
}

/** What one body in transit has reserved of the budget. */
export class BufferLease {
	/** For bodies that are bounded otherwise. */
	static unlimited(): BufferLease {
		return new BufferLease(new BufferBudget(Infinity));
	}

	#len = 0;
	#isClosed = false;

	constructor(private readonly budget: BufferBudget) {}

	/** Reserves `len` more bytes; false if there is no room for them. */
	tryReserve(len: number): boolean {
		const isReserved = !this.#isClosed && this.budget.tryReserve(len);
		this.#len += isReserved ? len : 0;
		return isReserved;
	}

	/** Returns all that was reserved: the bytes have been passed on or dropped. */
	release(): void {
		this.budget.release(this.#len);
		this.#len = 0;
	}

	/** Returns all that was reserved, and reserves no more. */
	close(): void {
		this.release();
		this.#isClosed = true;
	}
}
