/**
 * Plans the moves of keys that don't depend on load: the keys of servers that are gone
 * or leaving get a new owner, and a new server gets an even share by number of keys.
 */
import {type ListedServer} from './listed-server.js';
import {isHeldBy, maxKey, type KeyRange, type RangeTable} from './key-range.js';

/** A range of keys to move to `target`; `holder` is undefined if no server ever held them. */
export type KeyMove = {
	readonly from: number;
	/** Inclusive. */
	readonly to: number;
	readonly holder: KeyRange | undefined;
	readonly target: ListedServer;
};

/** The moves that adapt the table to `servers`, none of which is leaving. */
export function planKeyMoves(
	{ranges}: RangeTable,
	servers: readonly ListedServer[],
): readonly KeyMove[] {
	if (servers.length === 0) {
		return [];
	}

	const keyCounts = new Map(servers.map((server) => [server.backendServer, 0]));
	const isOwned = (range: KeyRange) =>
		servers.some((server) => isHeldBy(range, server));
	for (const range of ranges.filter((candidate) => isOwned(candidate))) {
		keyCounts.set(
			range.owner,
			(keyCounts.get(range.owner) ?? 0) + lenOf(range),
		);
	}

	const unowned: Array<Omit<KeyMove, 'target'>> =
		ranges.length === 0
			? [{from: 0, to: maxKey, holder: undefined}]
			: ranges
					.filter((range) => !isOwned(range))
					.map((range) => ({from: range.from, to: range.to, holder: range}));
	const evenShare = (maxKey + 1) / servers.length;
	const missing = new Map(
		servers.map(({backendServer}) => [
			backendServer,
			Math.max(0, Math.ceil(evenShare) - keyCounts.get(backendServer)!),
		]),
	);
	const moves = distribute(unowned, servers, missing);
	return moves.length > 0
		? moves
		: movesToNewServers(ranges, servers, {held: keyCounts, evenShare});
}

/** The table after `move`; the moved keys get the next free fencing token. */
export function applyMove(
	table: RangeTable,
	{from, to, target}: KeyMove,
): RangeTable {
	const fence = table.nextFence;
	const rest = table.ranges.flatMap((range) => withoutKeys(range, from, to));
	const movedRange: KeyRange = {
		from,
		to,
		owner: target.backendServer,
		ownerStartedAt: target.startedAt,
		fence,
	};
	const ranges = [...rest, movedRange].sort((a, b) => a.from - b.from);
	return {...table, nextFence: fence + 1, ranges};
}

/** The same owners with new fencing tokens, all higher than any earlier one. */
export function withNewFences({
	service,
	nextFence,
	ranges,
}: RangeTable): RangeTable {
	return {
		service,
		nextFence: nextFence + ranges.length + 1,
		ranges: ranges.map((range, index) => ({
			...range,
			fence: nextFence + index,
		})),
	};
}

/** The parts of `range` that remain without the keys from `from` to `to`. */
export function withoutKeys(
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

/** Gives each server the keys that it is missing; when none is missing any, one server gets the rest of a range. */
function distribute(
	unowned: ReadonlyArray<Omit<KeyMove, 'target'>>,
	servers: readonly ListedServer[],
	missing: Map<string, number>,
): readonly KeyMove[] {
	const moves: KeyMove[] = [];
	for (const range of unowned) {
		let {from} = range;
		while (from <= range.to) {
			const target = serverMissingMost(servers, missing);
			const count = Math.max(1, missing.get(target.backendServer)!);
			const isLast = [...missing.values()].every((left) => left <= 0);
			const to = isLast ? range.to : Math.min(range.to, from + count - 1);
			moves.push({from, to, holder: range.holder, target});
			missing.set(target.backendServer, count - (to - from + 1));
			from = to + 1;
		}
	}

	return moves;
}

function serverMissingMost(
	servers: readonly ListedServer[],
	missing: ReadonlyMap<string, number>,
): ListedServer {
	const missingOf = ({backendServer}: ListedServer) =>
		missing.get(backendServer)!;
	return servers.toSorted((a, b) => missingOf(b) - missingOf(a))[0];
}

/** Moves keys of the other servers to each server that has none, up to an even share. */
function movesToNewServers(
	ranges: readonly KeyRange[],
	servers: readonly ListedServer[],
	{
		held: keyCounts,
		evenShare,
	}: {
		readonly held: Map<string, number>;
		readonly evenShare: number;
	},
): readonly KeyMove[] {
	const counts = new Map(keyCounts);
	const moves: KeyMove[] = [];
	let remaining = [...ranges];
	for (const target of servers) {
		if (counts.get(target.backendServer)! > 0) {
			continue;
		}

		let wantedCount = Math.floor(evenShare);

		for (const range of remaining.toSorted(
			(a, b) => counts.get(b.owner)! - counts.get(a.owner)!,
		)) {
			const spareCount = Math.floor(counts.get(range.owner)! - evenShare);
			const len = Math.min(wantedCount, spareCount, lenOf(range));
			if (len <= 0) {
				continue;
			}

			const from = range.to - len + 1;
			moves.push({from, to: range.to, holder: range, target});
			counts.set(range.owner, counts.get(range.owner)! - len);
			remaining = remaining.flatMap((other) =>
				other === range ? withoutKeys(range, from, range.to) : [other],
			);
			wantedCount -= len;
		}
	}

	return moves;
}

function lenOf({from, to}: KeyRange): number {
	return to - from + 1;
}
