/** Splits lists of objects into pages, so that each message stays small. */

/** Limit on the values in one message; a single object may be as large as the platform allows. */
const maxPageBytes = 128 * 1024;

/** The items of one message, and those left for later messages. */
export type Page<T> = {
	readonly items: readonly T[];
	readonly rest: readonly T[];
};

/** Takes the first items, at least one if there are any; items after the page are not measured. */
export function firstPage<T>(
	items: readonly T[],
	lenOf: (item: T) => number,
): Page<T> {
	let bytes = 0;
	let count = 0;
	for (const item of items) {
		bytes += lenOf(item);
		if (count > 0 && bytes > maxPageBytes) {
			break;
		}

		count++;
	}

	return {items: items.slice(0, count), rest: items.slice(count)};
}

/** Splits the items into pages in the same order; returns at least one page, which may be empty. */
export function pagesOf<T>(
	items: readonly T[],
	lenOf: (item: T) => number,
): ReadonlyArray<readonly T[]> {
	const pages: Array<readonly T[]> = [];
	let {items: page, rest} = firstPage(items, lenOf);
	pages.push(page);
	while (rest.length > 0) {
		({items: page, rest} = firstPage(rest, lenOf));
		pages.push(page);
	}

	return pages;
}
