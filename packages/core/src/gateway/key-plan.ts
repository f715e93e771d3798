/**
 * Plans the moves of keys that cannot wait for the load to be uneven: the keys of servers
 * that are gone or leaving go where there is capacity to spare, and a new server gets an
 * even share by number of keys. Where no load is known yet, all are shared out by number.
 * Keys go to cold servers only where there are too few others, since requests for the
 * keys of a cold server are refused beyond the few that it can take.
 */
import {type Millis} from '../time/clock.js';
import {type ListedServer} from './listed-server.js';
import {
	lenOf,
	maxKey,
	ownerKeyOf,
	rangesByOwner,
	type KeyRange,
	type RangeTable,
} from './key-range.js';
import {partitionPoint} from './partition-point.js';
import {type KeyTraffic} from './key-traffic.js';
import {runKeyOf} from './server-run.js';
import {placeBySpareCapacity} from './spare-plan.js';
import {timelyRates} from './timely-rate.js';

/** A range of keys to move to `target`; `holder` is undefined if no server ever held them. */
export type KeyMove = {
	readonly from: number;
	/** Inclusive. */
	readonly to: number;
	readonly holder: KeyRange | undefined;
	readonly target: ListedServer;
};

/** If a smaller share of the servers is warm, cold ones get keys that have no owner as well. */
const minWarmShare = 0.5;

/** The moves that adapt the table to `servers`, none of which is leaving. `targetMs` is the smallest target latency of the routes to the service. */
export function planKeyMoves(
	{ranges}: RangeTable,
	servers: readonly ListedServer[],
	traffic?: KeyTraffic,
	targetMs?: Millis,
): readonly KeyMove[] {
	if (servers.length === 0) {
		return [];
	}

	const byOwner = rangesByOwner(ranges);
	const keyCounts = new Map(
		servers.map((server) => [
			server.backendServer,
			countKeys(byOwner.get(runKeyOf(server)) ?? []),
		]),
	);
	const runs = new Set(servers.map((server) => runKeyOf(server)));
	const unowned: Array<Omit<KeyMove, 'target'>> =
		ranges.length === 0
			? [{from: 0, to: maxKey, holder: undefined}]
			: ranges
					.filter((range) => !runs.has(ownerKeyOf(range)))
					.map((range) => ({from: range.from, to: range.to, holder: range}));
	const warm = servers.filter(({coldMs}) => coldMs === 0);
	const targets = warm.length < servers.length * minWarmShare ? servers : warm;
	const capacities =
		traffic && ranges.length > 0 && hasRequests(traffic)
			? timelyRates(targets, traffic, targetMs)
			: undefined;
	if (traffic && capacities && unowned.length > 0) {
		const {rates} = traffic;
		return placeBySpareCapacity(unowned, targets, {ranges, rates, capacities});
	}

	const targetShare = Math.ceil((maxKey + 1) / targets.length);
	const missing = new Map(
		targets.map(({backendServer}) => [
			backendServer,
			Math.max(0, targetShare - keyCounts.get(backendServer)!),
		]),
	);
	const moves = distribute(unowned, targets, missing);
	const evenShare = (maxKey + 1) / servers.length;
	return moves.length > 0
		? moves
		: movesToNewServers(byOwner, servers, {keyCounts, evenShare});
}

/** The table after `moves`, none of which includes a key of another. The moved keys get the next free fencing tokens, in the order of `moves`. */
export function applyMoves(
	{service, nextFence, ranges}: RangeTable,
	moves: readonly KeyMove[],
): RangeTable {
	const moved = moves.map(({from, to, target}, index): KeyRange => ({
		from,
		to,
		owner: target.backendServer,
		ownerStartedAt: target.startedAt,
		fence: nextFence + index,
	}));
	return {
		service,
		nextFence: nextFence + moves.length,
		ranges: [...withoutAll(ranges, moved), ...moved].sort(
			(a, b) => a.from - b.from,
		),
	};
}

/**
 * Joins adjacent ranges of one owner, except those that include a key of `apart`. A joined
 * range gets a new fencing token: neither of the former ones was ever granted for all of
 * its keys. At most `maxJoined` ranges are joined, since each joined range is granted anew.
 */
export function joinRanges(
	{service, nextFence, ranges}: RangeTable,
	apart: ReadonlyArray<Pick<KeyRange, 'from' | 'to'>>,
	maxJoined: number,
): RangeTable {
	const sorted = apart.toSorted((a, b) => a.from - b.from);
	const isApart = ({from, to}: KeyRange) => {
		const next = sorted.at(partitionPoint(sorted, (other) => other.to < from));
		return next !== undefined && next.from <= to;
	};

	const joined: KeyRange[] = [];
	let fence = nextFence;
	let count = 0;
	for (const range of ranges) {
		const last = joined.at(-1);
		const fits =
			last !== undefined &&
			last.to + 1 === range.from &&
			ownerKeyOf(last) === ownerKeyOf(range) &&
			!isApart(last) &&
			!isApart(range);
		if (last && fits && count < maxJoined) {
			// A range that was joined before keeps its token, which was granted to nobody yet.
			const isNew = last.fence < nextFence;
			joined[joined.length - 1] = {
				...last,
				to: range.to,
				fence: isNew ? fence : last.fence,
			};
			fence += isNew ? 1 : 0;
			count++;
		} else {
			joined.push(range);
		}
	}

	return {service, nextFence: fence, ranges: joined};
}

/** The same owners with new fencing tokens, all at least `lowest` and higher than any earlier one of the table. */
export function withNewFences(
	{service, nextFence: unused, ranges}: RangeTable,
	lowest = 1,
): RangeTable {
	const nextFence = Math.max(unused, lowest);
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

/** The parts of `ranges` that remain without the keys of `removed`; both are ordered by key, and `removed` does not overlap itself. */
export function withoutAll(
	ranges: readonly KeyRange[],
	removed: ReadonlyArray<Pick<KeyRange, 'from' | 'to'>>,
): readonly KeyRange[] {
	const sorted = removed.toSorted((a, b) => a.from - b.from);
	const remaining: KeyRange[] = [];
	let first = 0;
	for (const range of ranges) {
		while (first < sorted.length && sorted[first].to < range.from) {
			first++;
		}

		let parts: readonly KeyRange[] = [range];
		for (
			let index = first;
			index < sorted.length && sorted[index].from <= range.to;
			index++
		) {
			const {from, to} = sorted[index];
			const rest = parts.at(-1);
			parts = rest
				? [...parts.slice(0, -1), ...withoutKeys(rest, from, to)]
				: parts;
		}

		remaining.push(...parts);
	}

	return remaining;
}

/** Gives each server the keys that it is missing; when none is missing any, one server gets the rest of a range. */
function distribute(
	unowned: ReadonlyArray<Omit<KeyMove, 'target'>>,
	servers: readonly ListedServer[],
	missing: Map<string, number>,
): readonly KeyMove[] {
	const moves: KeyMove[] = [];
	// Ordered by what they are missing, most first.
	const queue = servers.toSorted(
		(a, b) => missing.get(b.backendServer)! - missing.get(a.backendServer)!,
	);
	for (const range of unowned) {
		let {from} = range;
		while (from <= range.to) {
			const target = queue.shift()!;
			const name = target.backendServer;
			const isLast = missing.get(name)! <= 0;
			const count = Math.max(1, missing.get(name)!);
			const to = isLast ? range.to : Math.min(range.to, from + count - 1);
			moves.push({from, to, holder: range.holder, target});
			missing.set(name, count - (to - from + 1));
			insertByCount(queue, target, missing);
			from = to + 1;
		}
	}

	return moves;
}

/** Inserts a server into a queue that is ordered by `counts`, highest first. */
function insertByCount(
	queue: ListedServer[],
	server: ListedServer,
	counts: ReadonlyMap<string, number>,
): void {
	const count = counts.get(server.backendServer)!;
	const index = partitionPoint(
		queue,
		({backendServer}) => counts.get(backendServer)! >= count,
	);
	queue.splice(index, 0, server);
}

/** Moves keys of the servers that have most to each warm server that has none, up to an even share. */
function movesToNewServers(
	byOwner: ReadonlyMap<string, readonly KeyRange[]>,
	servers: readonly ListedServer[],
	{
		keyCounts,
		evenShare,
	}: {
		readonly keyCounts: ReadonlyMap<string, number>;
		readonly evenShare: number;
	},
): readonly KeyMove[] {
	const counts = new Map(keyCounts);
	const countOf = ({backendServer}: ListedServer) => counts.get(backendServer)!;
	const ranges = new Map(
		servers.map((server) => [
			server,
			[...(byOwner.get(runKeyOf(server)) ?? [])],
		]),
	);
	// Ordered by their keys, most first.
	const donors = servers
		.filter((server) => countOf(server) > 0)
		.sort((a, b) => countOf(b) - countOf(a));
	const shareCount = Math.floor(evenShare);
	const moves: KeyMove[] = [];
	const targets = servers.filter(
		(server) => countOf(server) === 0 && server.coldMs === 0,
	);
	for (const target of targets) {
		let wantedCount = shareCount;
		while (wantedCount > 0 && donors.length > 0) {
			const [donor] = donors;
			const spare = countOf(donor) - evenShare;
			const hasNone = wantedCount === shareCount;
			// Where rounding leaves nobody with keys to spare, one gives half of its own.
			const spareCount = Math.floor(
				hasNone && spare < 1 ? countOf(donor) / 2 : spare,
			);
			if (spareCount <= 0) {
				break;
			}

			const given = ranges.get(donor)!;
			const range = given.pop()!;

			const len = Math.min(wantedCount, spareCount, lenOf(range));
			const from = range.to - len + 1;
			moves.push({from, to: range.to, holder: range, target});
			given.push(...withoutKeys(range, from, range.to));
			counts.set(donor.backendServer, countOf(donor) - len);
			donors.shift();
			insertByCount(donors, donor, counts);
			wantedCount -= len;
		}
	}

	return moves;
}

function hasRequests({rates}: KeyTraffic): boolean {
	return [...rates.values()].some((rate) => rate > 0);
}

function countKeys(ranges: readonly KeyRange[]): number {
	let count = 0;
	for (const range of ranges) {
		count += lenOf(range);
	}

	return count;
}
