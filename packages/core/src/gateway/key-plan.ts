/**
 * Which keys are to change hands whatever the load: those of servers that are gone or
 * leaving, and as many as give a new server its part by their number.
 */
import {type ListedServer} from './listed-server.js';
import {isHeldBy, maxKey, type KeyRange, type RangeTable} from './key-range.js';

/** A run of keys that is to go to `target`; `holder` is undefined while nobody ever held them. */
export type KeyMove = {
	readonly from: number;
	/** Inclusive. */
	readonly to: number;
	readonly holder: KeyRange | undefined;
	readonly target: ListedServer;
};

/** The moves that make the table fit `servers`, none of which is leaving. */
export function planKeys(
	{ranges}: RangeTable,
	servers: readonly ListedServer[],
): readonly KeyMove[] {
	if (servers.length === 0) {
		return [];
	}

	const held = new Map(servers.map((server) => [server.backendServer, 0]));
	const isOwned = (range: KeyRange) =>
		servers.some((server) => isHeldBy(range, server));
	for (const range of ranges.filter((one) => isOwned(one))) {
		held.set(range.owner, (held.get(range.owner) ?? 0) + lenOf(range));
	}

	const free: Array<Omit<KeyMove, 'target'>> =
		ranges.length === 0
			? [{from: 0, to: maxKey, holder: undefined}]
			: ranges
					.filter((range) => !isOwned(range))
					.map((range) => ({from: range.from, to: range.to, holder: range}));
	const even = (maxKey + 1) / servers.length;
	const shares = new Map(
		servers.map(({backendServer}) => [
			backendServer,
			Math.max(0, Math.ceil(even) - held.get(backendServer)!),
		]),
	);
	const moves = dealt(free, servers, shares);
	return moves.length > 0 ? moves : towardsNew(ranges, servers, {held, even});
}

/** The table once `move` is done. */
export function moved(
	table: RangeTable,
	{from, to, target}: KeyMove,
): RangeTable {
	const fence = table.nextFence;
	const rest = table.ranges.flatMap((range) => without(range, from, to));
	const given: KeyRange = {
		from,
		to,
		owner: target.backendServer,
		ownerStartedAt: target.startedAt,
		fence,
	};
	const ranges = [...rest, given].sort((a, b) => a.from - b.from);
	return {...table, nextFence: fence + 1, ranges};
}

/** The same holders, each with its keys by a fence that is above all former ones. */
export function refenced({service, nextFence, ranges}: RangeTable): RangeTable {
	return {
		service,
		nextFence: nextFence + ranges.length + 1,
		ranges: ranges.map((range, index) => ({
			...range,
			fence: nextFence + index,
		})),
	};
}

/** What is left of `range` without the keys from `from` to `to`. */
export function without(
	range: KeyRange,
	from: number,
	to: number,
): readonly KeyRange[] {
	if (to < range.from || from > range.to) {
		return [range];
	}

	const before = {...range, to: from - 1};
	const after = {...range, from: to + 1};
	return [before, after].filter((part) => part.from <= part.to);
}

/** Deals free runs out, each server up to its share and what is over to the last. */
function dealt(
	free: ReadonlyArray<Omit<KeyMove, 'target'>>,
	servers: readonly ListedServer[],
	shares: Map<string, number>,
): readonly KeyMove[] {
	const moves: KeyMove[] = [];
	for (const run of free) {
		let {from} = run;
		while (from <= run.to) {
			const target = neediest(servers, shares);
			const share = Math.max(1, shares.get(target.backendServer)!);
			const isLast = [...shares.values()].every((left) => left <= 0);
			const to = isLast ? run.to : Math.min(run.to, from + share - 1);
			moves.push({from, to, holder: run.holder, target});
			shares.set(target.backendServer, share - (to - from + 1));
			from = to + 1;
		}
	}

	return moves;
}

function neediest(
	servers: readonly ListedServer[],
	shares: ReadonlyMap<string, number>,
): ListedServer {
	const shareOf = ({backendServer}: ListedServer) => shares.get(backendServer)!;
	return servers.toSorted((a, b) => shareOf(b) - shareOf(a))[0];
}

/** Gives each server that has no keys its part of those of the others. */
function towardsNew(
	ranges: readonly KeyRange[],
	servers: readonly ListedServer[],
	{held, even}: {readonly held: Map<string, number>; readonly even: number},
): readonly KeyMove[] {
	const left = new Map(held);
	const moves: KeyMove[] = [];
	let rest = [...ranges];
	for (const target of servers) {
		if (left.get(target.backendServer)! > 0) {
			continue;
		}

		let wants = Math.floor(even);

		for (const range of rest.toSorted(
			(a, b) => left.get(b.owner)! - left.get(a.owner)!,
		)) {
			const spare = Math.floor(left.get(range.owner)! - even);
			const len = Math.min(wants, spare, lenOf(range));
			if (len <= 0) {
				continue;
			}

			const from = range.to - len + 1;
			moves.push({from, to: range.to, holder: range, target});
			left.set(range.owner, left.get(range.owner)! - len);
			rest = rest.flatMap((one) =>
				one === range ? without(range, from, range.to) : [one],
			);
			wants -= len;
		}
	}

	return moves;
}

function lenOf({from, to}: KeyRange): number {
	return to - from + 1;
}
