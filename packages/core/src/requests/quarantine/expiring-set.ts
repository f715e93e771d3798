/** A set of strings that expire, limited in size: beyond that the oldest is dropped. */
import {type Millis} from '../../time/clock.js';

export class ExpiringSet {
	/** Expiry times by string, in the order of the last `add`. */
	readonly #expiresAt = new Map<string, Millis>();

	constructor(private readonly maxSize: number) {}

	get size(): number {
		return this.#expiresAt.size;
	}

	/** Keeps `text` at least until `until`, unless the set grows too large. */
	add(text: string, until: Millis): void {
		const previous = this.#expiresAt.get(text) ?? until;
		this.#expiresAt.delete(text);
		this.#expiresAt.set(text, Math.max(previous, until));
		const [oldest] = this.#expiresAt.keys();
		if (this.#expiresAt.size > this.maxSize) {
			this.#expiresAt.delete(oldest);
		}
	}

	delete(text: string): void {
		this.#expiresAt.delete(text);
	}

	has(text: string, now: Millis): boolean {
		const until = this.#expiresAt.get(text);
		if (until !== undefined && until <= now) {
			this.#expiresAt.delete(text);
		}

		return until !== undefined && until > now;
	}

	/** How much longer `text` is in the set, in ms; 0 if it is not. */
	leftMs(text: string, now: Millis): Millis {
		return Math.max(0, (this.#expiresAt.get(text) ?? now) - now);
	}

	/** The strings in the set at `now`. */
	held(now: Millis): readonly string[] {
		return [...this.#expiresAt.keys()].filter((text) => this.has(text, now));
	}
}
