/** Deadlines in order of time, in a mutable binary heap. */
import {type Millis} from './clock.js';

export type Deadline = {readonly at: Millis; readonly name: string};

export class Deadlines {
	readonly #heap: Deadline[] = [];

	/** Adds a deadline. A name may have several. */
	add(deadline: Deadline): void {
		let index = this.#heap.push(deadline) - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (this.#heap[parent].at <= deadline.at) {
				break;
			}

			this.#heap[index] = this.#heap[parent];
			index = parent;
		}

		this.#heap[index] = deadline;
	}

	/** Removes and returns the deadlines up to `now`, earliest first. */
	takeDue(now: Millis): readonly Deadline[] {
		const due: Deadline[] = [];
		while (this.#heap.length > 0 && this.#heap[0].at <= now) {
			due.push(this.#heap[0]);
			this.#dropFirst();
		}

		return due;
	}

	#dropFirst(): void {
		const last = this.#heap.pop()!;
		const count = this.#heap.length;
		if (count === 0) {
			return;
		}

		let index = 0;
		for (;;) {
			const left = 2 * index + 1;
			const right = left + 1;
			const isRightEarlier =
				right < count && this.#heap[right].at < this.#heap[left].at;
			const earliest = isRightEarlier ? right : left;
			if (earliest >= count || this.#heap[earliest].at >= last.at) {
				break;
			}

			this.#heap[index] = this.#heap[earliest];
			index = earliest;
		}

		this.#heap[index] = last;
	}
}
