/**
 * Work done in parts: each `yield` is a place where the caller may do something
 * else first, so that a large table does not hold up its daemon.
 */
export type Steps<T> = Generator<undefined, T, undefined>;

/** The outcome of all parts done at once. */
export function runToEnd<T>(steps: Steps<T>): T {
	for (;;) {
		const step = steps.next();
		if (step.done) {
			return step.value;
		}
	}
}

/** `items` one by one, with a break after each `count` of them. */
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
