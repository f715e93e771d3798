/**
 * Which keys are to change hands so that no server is much busier than another.
 * Answers the load of keys that differ widely, lie close together when they are busy,
 * and turn busy within seconds: the busiest server gives a run of its keys to the
 * least busy one, cut where the two end up most alike. Keys that move are not served
 * for a moment, so small differences stay.
 */
import {type Millis} from '../time/clock.js';
import {median} from '../balance/median.js';
import {type ListedServer} from './listed-server.js';
import {isHeldBy, type KeyRange, type RangeTable} from './key-range.js';
import {type KeyMove} from './key-plan.js';
import {type KeyTraffic} from './key-traffic.js';

/** A server whose slots are busy for less than this part of the time gives nothing away: hardly any request waits there. */
const busyLoad = 0.45;
/** Servers that differ by less stay as they are: with a few dozen requests seen, that much is chance. */
const minGap = 0.25;
/** What a move has to take off the busier one, at least. */
const minGain = 0.1;
/** Moves of one plan, so that its table is written at once and few keys wait. */
const maxMoves = 8;
const secondMs: Millis = 1000;

/** A server with what its keys ask of it. */
type Seat = {
	readonly server: ListedServer;
	readonly ranges: readonly KeyRange[];
	/** The part of its slots that one request a second keeps busy. */
	readonly cost: number;
	/** The part of its slots that is busy; beyond 1 requests pile up. */
	readonly load: number;
};

/** A run of one range, with the requests a second for its keys. */
type Run = {
	readonly from: number;
	readonly to: number;
	readonly holder: KeyRange;
	readonly rate: number;
};

/** The moves that even out the load, none where nothing is known of it. */
export function planLoad(
	table: RangeTable,
	servers: readonly ListedServer[],
	{rates, runMs}: KeyTraffic,
): readonly KeyMove[] {
	const usualMs = median([...runMs.values()]);
	if (usualMs === undefined) {
		return [];
	}

	const keys = [...rates].sort(([a], [b]) => a - b);
	const seats = servers
		.map((server) =>
			seated(server, table, keys, runMs.get(server.backendServer) ?? usualMs),
		)
		.sort((a, b) => a.load - b.load);
	const givers = seats.filter(({load}) => load >= busyLoad).reverse();
	const takers = seats.filter(({server}) => server.coldMs === 0);
	const moves: KeyMove[] = [];
	for (const giver of givers) {
		const taker = takers.find((seat) => seat !== giver);
		if (
			!taker ||
			moves.length === maxMoves ||
			giver.load - taker.load < minGap
		) {
			break;
		}

		const run = bestRun(giver, taker, keys);
		if (run) {
			const {from, to, holder} = run;
			moves.push({from, to, holder, target: taker.server});
			takers.splice(takers.indexOf(taker), 1);
		}
	}

	return moves;
}

type RatedKeys = ReadonlyArray<readonly [number, number]>;

function seated(
	server: ListedServer,
	table: RangeTable,
	keys: RatedKeys,
	runMs: Millis,
): Seat {
	const ranges = table.ranges.filter((range) => isHeldBy(range, server));
	const cost = runMs / secondMs / server.slots;
	let rate = 0;
	for (const range of ranges) {
		rate += rateOf(within(range, keys));
	}

	return {server, ranges, cost, load: rate * cost};
}

/** The run that leaves the busier of the two least busy; undefined where none helps enough. */
function bestRun(giver: Seat, taker: Seat, keys: RatedKeys): Run | undefined {
	const after = ({rate}: Run) =>
		Math.max(giver.load - rate * giver.cost, taker.load + rate * taker.cost);
	const runs = giver.ranges
		.flatMap((range) => runsOf(range, within(range, keys)))
		.map((run) => ({run, after: after(run)}))
		.sort((a, b) => a.after - b.after || lenOf(a.run) - lenOf(b.run));
	const best = runs.at(0);
	return best && giver.load - best.after >= minGain ? best.run : undefined;
}

/** The whole range, and what a cut beside any of its busy keys leaves on either side. */
function runsOf(holder: KeyRange, keys: RatedKeys): readonly Run[] {
	const all = rateOf(keys);
	const runs: Run[] = [{from: holder.from, to: holder.to, holder, rate: all}];
	let rate = 0;
	for (const [key, part] of keys) {
		if (key > holder.from) {
			runs.push({from: key, to: holder.to, holder, rate: all - rate});
		}

		rate += part;
		if (key < holder.to) {
			runs.push({from: holder.from, to: key, holder, rate});
		}
	}

	return runs;
}

function within({from, to}: KeyRange, keys: RatedKeys): RatedKeys {
	return keys.filter(([key]) => from <= key && key <= to);
}

function rateOf(keys: RatedKeys): number {
	let sum = 0;
	for (const [, rate] of keys) {
		sum += rate;
	}

	return sum;
}

function lenOf({from, to}: Run): number {
	return to - from + 1;
}
