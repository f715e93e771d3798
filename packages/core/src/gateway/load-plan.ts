/**
 * Plans moves of keys so that no server is much busier than another. Load differs widely
 * between keys, busy keys often lie close together, and a key may become busy within
 * seconds. So the busiest server gives a contiguous run of its keys to the least busy
 * one, chosen so that the busier of the two ends up as little busy as possible. Moving
 * keys are not served for a moment, so small differences in load are left alone.
 */
import {type Millis} from '../time/clock.js';
import {median} from '../balance/median.js';
import {type ListedServer} from './listed-server.js';
import {rangesByOwner, type KeyRange, type RangeTable} from './key-range.js';
import {withoutKeys, type KeyMove} from './key-plan.js';
import {type KeyTraffic} from './key-traffic.js';
import {partitionPoint} from './partition-point.js';
import {runKeyOf} from './server-run.js';

/** A server whose slots are busy less than this share of the time gives no keys away: hardly any request waits there. */
const minDonorLoad = 0.45;
/** Smallest difference in load, to the mean and to the recipient, that causes a move: with a few dozen requests seen, a smaller one may be chance. */
const minLoadGap = 0.25;
/** Least reduction in the load of the busier server that justifies a move. */
const minGain = 0.1;
/** A server busier than this queues requests, so that its keys are served late until they have moved. */
const crowdedLoad = 0.75;
/** How far above the mean load a server may end up that gets keys. */
const ceilingSlack = 0.1;
/** Most moves in one plan off servers that are not crowded: what is seen of their load may be chance. */
const maxEasyMoves = 8;
const secondMs: Millis = 1000;

/** A server and the load that its keys cause. */
type LoadedServer = {
	readonly server: ListedServer;
	readonly ranges: readonly KeyRange[];
	/** The share of its slots that one request a second keeps busy. */
	readonly cost: number;
	/** The share of its slots that is busy; above 1, requests queue up. */
	readonly load: number;
};

/** A contiguous part of one range, and the requests a second for its keys. */
type KeyRun = {
	readonly from: number;
	readonly to: number;
	readonly holder: KeyRange;
	readonly rate: number;
};

/** The moves that even out the load, none of which includes a key of another; none if no run time is known. */
export function planLoadMoves(
	table: RangeTable,
	servers: readonly ListedServer[],
	{rates, runMs}: KeyTraffic,
): readonly KeyMove[] {
	const medianMs = median([...runMs.values()]);
	if (medianMs === undefined) {
		return [];
	}

	const keys = [...rates].sort(([a], [b]) => a - b);
	const byOwner = rangesByOwner(table.ranges);
	const loadedServers = servers
		.map((server) =>
			withLoad(
				server,
				byOwner.get(runKeyOf(server)) ?? [],
				keys,
				runMs.get(server.backendServer) ?? medianMs,
			),
		)
		.sort((a, b) => a.load - b.load);
	return evenOut(loadedServers, keys);
}

/** Repeatedly moves keys from the busiest server to the least busy one, as long as that gains enough. */
function evenOut(
	loadedServers: readonly LoadedServer[],
	keys: RatedKeys,
): readonly KeyMove[] {
	const byLoad = [...loadedServers];
	const mean = meanLoad(loadedServers);
	const ceiling = mean + ceilingSlack;
	const crowdedFrom = Math.max(crowdedLoad, ceiling);
	const moves: KeyMove[] = [];
	let easyMoves = 0;
	while (moves.length < loadedServers.length) {
		const donor = byLoad.pop();
		const recipient = byLoad.find(({server}) => server.coldMs === 0);
		if (!donor || !recipient || !isGapLarge(donor, recipient, mean)) {
			break;
		}

		const isEasy = donor.load < crowdedFrom;
		if (isEasy && easyMoves === maxEasyMoves) {
			break;
		}

		const run = bestRun(donor, recipient, {keys, ceiling});
		// A donor without a run that helps stays out of this plan.
		if (run) {
			const {from, to, holder} = run;
			moves.push({from, to, holder, target: recipient.server});
			easyMoves += isEasy ? 1 : 0;
			byLoad.splice(byLoad.indexOf(recipient), 1);
			insertByLoad(byLoad, withoutRun(donor, run));
			insertByLoad(byLoad, withRun(recipient, run));
		}
	}

	return moves;
}

function meanLoad(servers: readonly LoadedServer[]): number {
	let total = 0;
	for (const {load} of servers) {
		total += load;
	}

	return total / servers.length;
}

function isGapLarge(
	donor: LoadedServer,
	recipient: LoadedServer,
	mean: number,
): boolean {
	return (
		donor.load >= Math.max(minDonorLoad, mean + minLoadGap) &&
		donor.load - recipient.load >= minLoadGap
	);
}

/** The recipient of a run. The run is not among its ranges, since its holder has to release it first. */
function withRun(recipient: LoadedServer, {rate}: KeyRun): LoadedServer {
	return {...recipient, load: recipient.load + rate * recipient.cost};
}

function withoutRun(
	donor: LoadedServer,
	{from, to, holder, rate}: KeyRun,
): LoadedServer {
	return {
		...donor,
		load: donor.load - rate * donor.cost,
		ranges: donor.ranges.flatMap((range) =>
			range === holder ? withoutKeys(range, from, to) : [range],
		),
	};
}

/** Inserts a server into a list that is ordered by load, lowest first. */
function insertByLoad(byLoad: LoadedServer[], server: LoadedServer): void {
	const index = partitionPoint(byLoad, ({load}) => load <= server.load);
	byLoad.splice(index, 0, server);
}

/** Keys in ascending order, each with its requests a second. */
type RatedKeys = ReadonlyArray<readonly [number, number]>;

function withLoad(
	server: ListedServer,
	ranges: readonly KeyRange[],
	keys: RatedKeys,
	runMs: Millis,
): LoadedServer {
	const cost = runMs / secondMs / server.slots;
	let rate = 0;
	for (const range of ranges) {
		rate += totalRate(keysIn(range, keys));
	}

	return {server, ranges, cost, load: rate * cost};
}

/**
 * The run to move from `donor` to `recipient`; undefined if the gain would be under
 * `minGain`. Preferably the busiest one that leaves the recipient below `ceiling`, so
 * that it need not give keys away next; otherwise the one that leaves the busier of the
 * two least busy.
 */
function bestRun(
	donor: LoadedServer,
	recipient: LoadedServer,
	{keys, ceiling}: {readonly keys: RatedKeys; readonly ceiling: number},
): KeyRun | undefined {
	const runs = donor.ranges.flatMap((range) =>
		runsOf(range, keysIn(range, keys)),
	);
	const loadWith = ({rate}: KeyRun) => recipient.load + rate * recipient.cost;
	const loadAfter = (run: KeyRun) =>
		Math.max(donor.load - run.rate * donor.cost, loadWith(run));
	const fitting = runs
		.filter((run) => loadWith(run) <= ceiling)
		.sort((a, b) => b.rate - a.rate || lenOf(a) - lenOf(b))
		.at(0);
	if (fitting && fitting.rate * donor.cost >= minGain) {
		return fitting;
	}

	const best = runs
		.map((run) => ({run, after: loadAfter(run)}))
		.sort((a, b) => a.after - b.after || lenOf(a.run) - lenOf(b.run))
		.at(0);
	return best && donor.load - best.after >= minGain ? best.run : undefined;
}

/** The whole range, and both sides of every split next to one of its requested keys. */
function runsOf(holder: KeyRange, keys: RatedKeys): readonly KeyRun[] {
	const total = totalRate(keys);
	const runs: KeyRun[] = [
		{from: holder.from, to: holder.to, holder, rate: total},
	];
	let rate = 0;
	for (const [key, keyRate] of keys) {
		if (key > holder.from) {
			runs.push({from: key, to: holder.to, holder, rate: total - rate});
		}

		rate += keyRate;
		if (key < holder.to) {
			runs.push({from: holder.from, to: key, holder, rate});
		}
	}

	return runs;
}

function keysIn({from, to}: KeyRange, keys: RatedKeys): RatedKeys {
	return keys.slice(
		partitionPoint(keys, ([key]) => key < from),
		partitionPoint(keys, ([key]) => key <= to),
	);
}

function totalRate(keys: RatedKeys): number {
	let sum = 0;
	for (const [, rate] of keys) {
		sum += rate;
	}

	return sum;
}

function lenOf({from, to}: KeyRun): number {
	return to - from + 1;
}
