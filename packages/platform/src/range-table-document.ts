/** Key tables and the leases of their keepers, as this project stores them on the platform. */
import {
	checked,
	maxKey,
	type Checked,
	type RangeTable,
} from '@kingcuproute/core';
import {z} from 'zod';

export const rangeTablesKind = 'kingcuproute-range-tables';
export const keepersKind = 'kingcuproute-keepers';
/** Each daemon has an object here while it serves. */
export const daemonsKind = 'kingcuproute-daemons';

const key = z.number().int().min(0).max(maxKey);
const table = z.object({
	service: z.string(),
	nextFence: z.number().int().positive(),
	/** Columns: from, to, owner, the owner's start, fence. */
	ranges: z.array(
		z.tuple([key, key, z.string(), z.number(), z.number().int().positive()]),
	),
});
const keeper = z.object({vm: z.string(), beat: z.number().int()});

/** Who keeps a service's key table; `vm` is empty once a keeper has stood down. */
export type Keeper = z.infer<typeof keeper>;

export function parseRangeTable(spec: unknown): Checked<RangeTable> {
	return checked(table, spec).map(({ranges, ...rest}) => ({
		...rest,
		ranges: ranges.map(([from, to, owner, ownerStartedAt, fence]) => ({
			from,
			to,
			owner,
			ownerStartedAt,
			fence,
		})),
	}));
}

export function rangeTableSpec({
	service,
	nextFence,
	ranges,
}: RangeTable): unknown {
	return {
		service,
		nextFence,
		ranges: ranges.map(({from, to, owner, ownerStartedAt, fence}) => [
			from,
			to,
			owner,
			ownerStartedAt,
			fence,
		]),
	};
}

export function parseKeeper(spec: unknown): Checked<Keeper> {
	return checked(keeper, spec);
}
