/**
 * Plans moves of keys so that no server is much busier than another. Load differs widely
 * between keys, busy keys often lie close together, and a key may become busy within
 * seconds and stay so for only a few. So one plan repeatedly takes a run of adjacent keys
 * from the busiest server and gives it to the one that can take most, until no server is
 * too busy. A key that alone fills a server gets the fastest server to itself. Moving keys
 * are not served for a moment, so small differences in load are left alone, and runs of
 * few keys with much load are preferred.
 */
import {type Millis} from '../time/clock.js';
import {type ListedServer} from './listed-server.js';
import {
	lenOf,
	maxKey,
	rangesByOwner,
	type KeyRange,
	type RangeTable,
} from './key-range.js';
import {highestOf, isInner, runsOf, runsUpTo, type KeyRun} from './key-run.js';
import {withoutKeys, type KeyMove} from './key-plan.js';
import {type KeyTraffic, trafficDecayMs} from './key-traffic.js';
import {
	keysIn,
	rateOf,
	ratedKeysOf,
	totalRate,
	type RatedKeys,
} from './rated-keys.js';
import {runKeyOf} from './server-run.js';
import {timelyRates} from './timely-rate.js';

/** A server with less than this load gives no keys away: hardly any request waits there. */
const minDonorLoad = 0.45;
/** Smallest difference in load, to the mean and to the recipient, that causes a move. */
const minLoadGap = 0.25;
/** Least reduction in a server's load that justifies a move. */
const minGain = 0.1;
/** The same for a server with a hot key, whose other keys are all served late until they have moved. */
const minHotGain = 0.01;
/** A server busier than this queues requests, so that its keys are served late until they have moved. */
const crowdedLoad = 0.75;
/** How far above the mean load a server may end up that gets keys. */
const ceilingSlack = 0.1;
/** A server may get keys up to this load, whatever the mean is: a higher one than the mean takes fewer moves. */
const easyCeiling = 0.6;
/** Most moves in one plan off servers that are not crowded: what is seen of their load may be chance. */
const maxEasyMoves = 8;
/** A load above the mean by up to this many standard deviations is put down to chance: three or more would leave servers of a skewed load crowded. */
const significance = 2.5;
/** A server is overloaded from this load on: it gets more requests than it answers in time. */
const overload = 1.2;
/** Room left for the keys of an overloaded server to get busier by this factor: those that have just become hot show about 63% of their rate. */
const risingFactor = 1.5;
/** The smallest difference to the mean load at which a server counts as overloaded: where all servers are, moves gain little. */
const minOverloadGap = 0.5;
/** A key that puts this load on the fastest server fills a server. */
const hotKeyLoad = 0.6;
/** Most keys that get a server alone, as a share of the servers. */
const maxHotShare = 0.1;
/** A server counts as the fastest if none is faster by more than this factor: a smaller gain is not worth the move. */
const fasterRatio = 1.15;
/** A moved key costs as much as this share of the mean rate of a key, so that a run of few busy keys goes before half a range. */
const movedKeyWeight = 0.5;
/** A run that leaves three ranges of one costs this share of the recipient's rate, since every daemon reads all ranges. */
const splitWeight = 0.03;
const secondMs: Millis = 1000;

export type LoadPlanBounds = {
	/** Smallest target latency of the routes to the service; undefined if it has none. */
	readonly targetMs?: Millis;
	/** Most keys that the moves may include. */
	readonly maxMovedKeys?: number;
	/** Whether only overloaded servers give keys away. */
	readonly isOverloadOnly?: boolean;
	/** Time constant over which the rates were averaged. */
	readonly spanMs?: Millis;
};

/** A server and the load that its keys cause. */
type LoadedServer = {
	readonly server: ListedServer;
	/** The ranges that it may give away. */
	readonly ranges: readonly KeyRange[];
	/** The load by one request a second. */
	readonly cost: number;
	/** Requests a second relative to those that it answers in time. */
	readonly load: number;
	/** Whether it has a key that fills it, which it keeps. */
	readonly isHot: boolean;
};

/** The moves that even out the load, none of which includes a key of another; none if no run time is known. */
export function planLoadMoves(
	table: RangeTable,
	servers: readonly ListedServer[],
	traffic: KeyTraffic,
	bounds: LoadPlanBounds = {},
): readonly KeyMove[] {
	const capacities = timelyRates(servers, traffic, bounds.targetMs);
	if (!capacities) {
		return [];
	}

	const keys = ratedKeysOf(traffic);
	const byOwner = rangesByOwner(table.ranges);
	const loadedServers = servers.map((server) =>
		withLoad(
			server,
			byOwner.get(runKeyOf(server)) ?? [],
			keys,
			1 / capacities.get(server.backendServer)!,
		),
	);
	return new LoadPlan(loadedServers, keys, bounds).moves();
}

class LoadPlan {
	readonly #moves: KeyMove[] = [];
	readonly #servers: LoadedServer[];
	readonly #meanRate: number;
	readonly #isOverloadOnly: boolean;
	readonly #spanMs: Millis;
	#keysLeft: number;

	constructor(
		servers: readonly LoadedServer[],
		private readonly keys: RatedKeys,
		{
			maxMovedKeys = Infinity,
			isOverloadOnly = false,
			spanMs = trafficDecayMs,
		}: LoadPlanBounds,
	) {
		this.#spanMs = spanMs;
		this.#servers = [...servers];
		this.#keysLeft = maxMovedKeys;
		this.#isOverloadOnly = isOverloadOnly;
		this.#meanRate = totalRate(keys) / (maxKey + 1);
	}

	moves(): readonly KeyMove[] {
		this.#isolateHotKeys();
		this.#evenOut();
		return this.#moves;
	}

	/** Gives each key that fills a server to the fastest one that has no such key yet, unless its owner is about as fast. */
	#isolateHotKeys(): void {
		const warm = this.#servers.filter(({server}) => server.coldMs === 0);
		const minCost = Math.min(...warm.map(({cost}) => cost));
		const hot = this.keys
			.filter(([, rate]) => rate * minCost >= hotKeyLoad)
			.sort(([, a], [, b]) => b - a)
			.slice(0, Math.ceil(this.#servers.length * maxHotShare));
		for (const [key, rate] of hot) {
			const owner = this.#servers.find(({ranges}) =>
				ranges.some(({from, to}) => from <= key && key <= to),
			);
			const fastest = this.#servers
				.filter(({server, isHot}) => server.coldMs === 0 && !isHot)
				.sort((a, b) => a.cost - b.cost)
				.at(0);
			if (owner && fastest) {
				this.#isolate({owner, fastest, key, rate});
			}
		}
	}

	#isolate({
		owner,
		fastest,
		key,
		rate,
	}: {
		readonly owner: LoadedServer;
		readonly fastest: LoadedServer;
		readonly key: number;
		readonly rate: number;
	}): void {
		const holder = owner.ranges.find(({from, to}) => from <= key && key <= to)!;
		const run: KeyRun = {from: key, to: key, holder, rate};
		const isCrowded = rate * owner.cost >= crowdedLoad;
		const isSlower = owner.cost > fastest.cost * fasterRatio;
		if (isCrowded && isSlower && this.#keysLeft >= 1) {
			this.#move(owner, fastest, run);
			this.#replace(fastest, {isHot: true});
		} else {
			// The key stays, out of reach of further moves.
			const {load} = owner;
			this.#replace(owner, {...withoutRun(owner, run), load, isHot: true});
		}
	}

	/** Repeatedly moves keys from the busiest server to the one that can take most, as long as that gains enough. */
	#evenOut(): void {
		const mean = meanLoad(this.#servers);
		const ceiling = Math.max(
			mean + ceilingSlack,
			Math.min(easyCeiling, mean + minLoadGap - ceilingSlack / 2),
		);
		const crowdedFrom = Math.max(crowdedLoad, ceiling);
		const exhausted = new Set(
			this.#servers
				.filter(
					(server) =>
						!server.isHot && !isSignificant(server, mean, this.#spanMs),
				)
				.map(({server}) => runKeyOf(server)),
		);
		const minLoad = this.#isOverloadOnly
			? Math.max(overload, mean + minOverloadGap)
			: Math.max(minDonorLoad, mean + minLoadGap);
		let easyMoves = 0;
		for (let count = 0; count < 2 * this.#servers.length; count++) {
			const donor = this.#donor(exhausted, minLoad);
			const recipient = donor && this.#recipient(donor, ceiling);
			if (!donor || !recipient) {
				break;
			}

			const isEasy = donor.load < crowdedFrom && !donor.isHot;
			const run =
				isEasy && easyMoves === maxEasyMoves
					? undefined
					: this.#bestRun(donor, recipient, {mean, ceiling});
			if (run) {
				easyMoves += isEasy ? 1 : 0;
				this.#move(donor, recipient, run);
			} else {
				exhausted.add(runKeyOf(donor.server));
			}
		}
	}

	#donor(
		exhausted: ReadonlySet<string>,
		minLoad: number,
	): LoadedServer | undefined {
		let busiest: LoadedServer | undefined;
		for (const candidate of this.#servers) {
			if (
				candidate.load >= minLoad &&
				candidate.load > (busiest?.load ?? 0) &&
				candidate.ranges.length > 0 &&
				!exhausted.has(runKeyOf(candidate.server))
			) {
				busiest = candidate;
			}
		}

		return busiest;
	}

	/** The server that can take the highest rate below `ceiling`, or else the least busy one. */
	#recipient(donor: LoadedServer, ceiling: number): LoadedServer | undefined {
		const spareRate = ({load, cost}: LoadedServer) => (ceiling - load) / cost;
		let best: LoadedServer | undefined;
		for (const candidate of this.#servers) {
			if (
				candidate.server.coldMs === 0 &&
				!candidate.isHot &&
				donor.load - candidate.load >= minLoadGap &&
				(!best || spareRate(candidate) > spareRate(best))
			) {
				best = candidate;
			}
		}

		return best;
	}

	/**
	 * The run to move from `donor` to `recipient`; undefined if the gain would be too
	 * small. Preferably the one with most load for its number of keys that leaves the
	 * recipient below `ceiling`, so that it need not give keys away next; otherwise the one
	 * that leaves the busier of the two least busy.
	 */
	#bestRun(
		donor: LoadedServer,
		recipient: LoadedServer,
		{mean, ceiling}: {readonly mean: number; readonly ceiling: number},
	): KeyRun | undefined {
		const gain = donor.isHot ? minHotGain : minGain;
		const rising = donor.load >= overload ? risingFactor : 1;
		const fittingRate = (ceiling - recipient.load) / recipient.cost / rising;
		const excessRate = donor.isHot
			? Infinity
			: (donor.load - Math.min(mean, recipient.load)) / donor.cost;
		const maxRate = Math.min(fittingRate, excessRate);
		const splitCost = splitWeight / recipient.cost;
		const keyCost = movedKeyWeight * this.#meanRate;
		const value = (run: KeyRun) =>
			run.rate - keyCost * lenOf(run) - (isInner(run) ? splitCost : 0);
		const isAllowed = (run: KeyRun) =>
			lenOf(run) <= this.#keysLeft && run.rate * donor.cost >= gain;
		const fitting = highestOf(
			donor.ranges
				.flatMap((range) => runsUpTo(range, keysIn(range, this.keys), maxRate))
				.filter((run) => isAllowed(run)),
			value,
		);
		if (fitting) {
			return fitting;
		}

		const loadAfter = ({rate}: KeyRun) =>
			Math.max(
				donor.load - rate * donor.cost,
				recipient.load + rate * recipient.cost,
			);
		const best = highestOf(
			donor.ranges
				.flatMap((range) => runsOf(range, keysIn(range, this.keys)))
				.filter((run) => isAllowed(run)),
			(run) => -loadAfter(run),
		);
		return best && donor.load - loadAfter(best) >= gain ? best : undefined;
	}

	#move(donor: LoadedServer, recipient: LoadedServer, run: KeyRun): void {
		const {from, to, holder} = run;
		this.#moves.push({from, to, holder, target: recipient.server});
		this.#keysLeft -= lenOf(run);
		this.#replace(donor, withoutRun(donor, run));
		// The run is not among the recipient's ranges, since its holder has to release it first.
		const load = recipient.load + run.rate * recipient.cost;
		this.#replace(recipient, {load});
	}

	#replace(
		{server}: LoadedServer,
		changes: Partial<Omit<LoadedServer, 'server'>>,
	): void {
		const index = this.#servers.findIndex((other) => other.server === server);
		this.#servers[index] = {...this.#servers[index], ...changes};
	}
}

/** The load of all servers if it were spread by what they can take, without those of hot keys. */
function meanLoad(servers: readonly LoadedServer[]): number {
	let rate = 0;
	let capacity = 0;
	for (const {load, cost} of servers.filter(({isHot}) => !isHot)) {
		rate += load / cost;
		capacity += 1 / cost;
	}

	return capacity === 0 ? 0 : rate / capacity;
}

/** Whether chance does not explain how much a server's load is above the mean. */
function isSignificant(
	{load, cost}: LoadedServer,
	mean: number,
	spanMs: Millis,
): boolean {
	// A rate estimated from random requests has the variance of rate times this.
	const unit = secondMs / (2 * spanMs);
	const deviation = Math.sqrt(mean * cost * unit);
	return load - mean >= significance * deviation;
}

function withoutRun(
	donor: LoadedServer,
	{from, to, holder, rate}: KeyRun,
): Pick<LoadedServer, 'load' | 'ranges'> {
	return {
		load: donor.load - rate * donor.cost,
		ranges: donor.ranges.flatMap((range) =>
			range === holder ? withoutKeys(range, from, to) : [range],
		),
	};
}

function withLoad(
	server: ListedServer,
	ranges: readonly KeyRange[],
	keys: RatedKeys,
	cost: number,
): LoadedServer {
	const load = rateOf(ranges, keys) * cost;
	return {server, ranges, cost, load, isHot: false};
}
