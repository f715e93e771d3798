/**
 * A computation done in parts: at each `yield` the caller may let other work run
 * first, so that planning a large table does not block the daemon's event loop.
 */
export type Steps<T> = Generator<undefined, T, undefined>;

/** Runs all parts without a break and returns the result. */
export function runToEnd<T>(steps: Steps<T>): T {
	for (;;) {
		const step = steps.next();
		if (step.done) {
			return step.value;
		}
	}
}

/** Calls `work` for each item and yields after every `count` items. */
export function* inParts<T>(
	items: Iterable<T>,
	count: number,
	work: (item: T) => void,
): Steps<void> {
	let done = 0;
	for (const item of items) {
		work(item);
		done++;
		if (done % count === 0) {
			yield;
		}
	}
}
