/** A task's published state: the newest immutable value, and the listeners to call when it changes. */

/** Called with every new value. */
export type Listener<T> = (value: T) => void;

/** A value that the task that owns it writes and other tasks read. */
export class Topic<T> {
	readonly #listeners = new Set<Listener<T>>();
	#value: T;

	constructor(value: T) {
		this.#value = value;
	}

	/** The newest value. */
	get value(): T {
		return this.#value;
	}

	/** Replaces the value and calls the listeners; publishing the current value again does nothing. */
	publish(value: T): void {
		if (value === this.#value) {
			return;
		}

		this.#value = value;
		for (const listener of this.#listeners) {
			listener(value);
		}
	}

	/** Calls `listener` with every later value; returns a function that unsubscribes it. */
	subscribe(listener: Listener<T>): () => void {
		this.#listeners.add(listener);
		return () => this.#listeners.delete(listener);
	}
}
