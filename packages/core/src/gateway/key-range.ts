/** Which backend server owns which keys of a service divided by key, and under which fencing token. */
import {type ListedServer} from './listed-server.js';
import {partitionPoint} from './partition-point.js';
import {runKeyOf} from './server-run.js';

/** Keys are whole numbers from 0 to this. */
export const maxKey = 65_535;

/** A contiguous range of keys that one backend server owns. */
export type KeyRange = {
	readonly from: number;
	/** Inclusive. */
	readonly to: number;
	readonly owner: string;
	/** When this run of the owner started, as `startedAt` in `ListedServer`. */
	readonly ownerStartedAt: number;
	/** Fencing token, raised with every change of owner of any of the keys. */
	readonly fence: number;
};

/** All keys of one service, ordered by `from`; without gaps once it has any range. */
export type RangeTable = {
	readonly service: string;
	/** The next unused fencing token. */
	readonly nextFence: number;
	readonly ranges: readonly KeyRange[];
};

/** Of two tables of a service, the one that was written later. */
export function laterTable(a: RangeTable, b: RangeTable): RangeTable {
	return b.nextFence >= a.nextFence ? b : a;
}

/** Whether this run of the server owns the range; a later run under the same id does not. */
export function isHeldBy(
	{owner, ownerStartedAt}: KeyRange,
	{backendServer, startedAt}: ListedServer,
): boolean {
	return owner === backendServer && ownerStartedAt === startedAt;
}

/** The run that owns the range, as `runKeyOf` names it. */
export function ownerKeyOf({owner, ownerStartedAt}: KeyRange): string {
	return runKeyOf({backendServer: owner, startedAt: ownerStartedAt});
}

/** The ranges of each run that owns any, by `ownerKeyOf`. */
export function rangesByOwner(
	ranges: readonly KeyRange[],
): ReadonlyMap<string, readonly KeyRange[]> {
	const byOwner = new Map<string, KeyRange[]>();
	for (const range of ranges) {
		const key = ownerKeyOf(range);
		const others = byOwner.get(key);
		if (others) {
			others.push(range);
		} else {
			byOwner.set(key, [range]);
		}
	}

	return byOwner;
}

/** The range that contains `key`. */
export function rangeOf(
	{ranges}: RangeTable,
	key: number,
): KeyRange | undefined {
	const range = ranges.at(partitionPoint(ranges, ({to}) => to < key));
	return range && range.from <= key ? range : undefined;
}

/** The number of keys of a range. */
export function lenOf({from, to}: Pick<KeyRange, 'from' | 'to'>): number {
	return to - from + 1;
}
