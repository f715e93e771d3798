/** Who holds which keys of a service divided by key, and by which fence. */
import {type ListedServer} from './listed-server.js';

/** Keys are whole numbers from 0 to this. */
export const maxKey = 65_535;

/** A run of keys that one backend server holds. */
export type KeyRange = {
	readonly from: number;
	/** Inclusive. */
	readonly to: number;
	readonly owner: string;
	/** The start of the owner's run, as in `ListedServer`. */
	readonly ownerStartedAt: number;
	/** Higher with every change of hands of any of its keys. */
	readonly fence: number;
};

/** All keys of one service, in order of `from`, without gaps once it has rows. */
export type RangeTable = {
	readonly service: string;
	/** The next fence that is free. */
	readonly nextFence: number;
	readonly ranges: readonly KeyRange[];
};

/** Whether this run of the server holds the range; a later run under its id does not. */
export function isHeldBy(
	{owner, ownerStartedAt}: KeyRange,
	{backendServer, startedAt}: ListedServer,
): boolean {
	return owner === backendServer && ownerStartedAt === startedAt;
}

/** The range that `key` is in. */
export function rangeOf(
	{ranges}: RangeTable,
	key: number,
): KeyRange | undefined {
	let low = 0;
	let high = ranges.length - 1;
	while (low <= high) {
		const middle = Math.floor((low + high) / 2);
		const range = ranges[middle];
		if (key < range.from) {
			high = middle - 1;
		} else if (key > range.to) {
			low = middle + 1;
		} else {
			return range;
		}
	}

	return undefined;
}
