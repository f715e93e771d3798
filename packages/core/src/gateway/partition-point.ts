/** Binary search in a list whose items for which a condition holds come before all others. */

/** The index of the first item for which `isBefore` is false; the length if there is none. */
export function partitionPoint<T>(
	items: readonly T[],
	isBefore: (item: T) => boolean,
): number {
	let low = 0;
	let high = items.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (isBefore(items[middle])) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}
