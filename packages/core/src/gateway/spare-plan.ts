/**
 * Gives keys without a server to the servers with most capacity to spare. Answers the loss
 * of servers under load: shared out by number, their busy keys would go to servers that
 * are busy already. The keys are cut into pieces of limited load, and the busiest pieces
 * are placed first.
 */
import {type ListedServer} from './listed-server.js';
import {
	maxKey,
	rangesByOwner,
	type KeyRange,
	type RangeTable,
} from './key-range.js';
import {type KeyMove} from './key-plan.js';
import {type KeyTraffic} from './key-traffic.js';
import {partitionPoint} from './partition-point.js';
import {runKeyOf} from './server-run.js';

/** Keys without a holder to be placed. */
export type UnownedKeys = Omit<KeyMove, 'target'>;

/** What a key without requests counts for, as a share of the mean rate of a key: it may be requested next. */
const unseenShare = 0.1;
/** Pieces for each server that can take one: enough to choose from, and few enough to keep the table short. */
const piecesPerServer = 2;
/** Least load of a piece, relative to the rate that a server answers in time. */
const minPieceLoad = 0.05;

type Piece = UnownedKeys & {readonly rate: number};

/** Places `unowned` on `servers`; `capacities` has the requests a second that each can take. */
export function placeBySpareCapacity(
	unowned: readonly UnownedKeys[],
	servers: readonly ListedServer[],
	{
		ranges,
		rates,
		capacities,
	}: Pick<RangeTable, 'ranges'> &
		Pick<KeyTraffic, 'rates'> & {
			readonly capacities: ReadonlyMap<string, number>;
		},
): readonly KeyMove[] {
	const keyRates = new KeyRates(rates);
	const byOwner = rangesByOwner(ranges);
	const capacityOf = ({backendServer}: ListedServer) =>
		capacities.get(backendServer)!;
	const loads = servers.map((server) => {
		let rate = 0;
		for (const range of byOwner.get(runKeyOf(server)) ?? []) {
			rate += keyRates.rateOf(range);
		}

		return rate / capacityOf(server);
	});
	const unownedRate = sum(unowned.map((keys) => keyRates.rateOf(keys)));
	const capacity = sum(servers.map((server) => capacityOf(server)));
	const pieceRate = Math.max(
		unownedRate / (piecesPerServer * servers.length),
		(minPieceLoad * capacity) / servers.length,
	);
	const pieces = unowned
		.flatMap((keys) => keyRates.cut(keys, pieceRate))
		.sort((a, b) => b.rate - a.rate);
	return pieces.map(({from, to, holder, rate}) => {
		const loadWith = (index: number) =>
			loads[index] + rate / capacityOf(servers[index]);
		let best = 0;
		for (let index = 1; index < servers.length; index++) {
			if (loadWith(index) < loadWith(best)) {
				best = index;
			}
		}

		loads[best] = loadWith(best);
		return {from, to, holder, target: servers[best]};
	});
}

/** The rates of keys, including what unseen keys count for. */
class KeyRates {
	readonly #keys: readonly number[];
	/** The rate of the first keys of `#keys`, by their number. */
	readonly #totals: readonly number[];
	readonly #unseenRate: number;

	constructor(rates: KeyTraffic['rates']) {
		const sorted = [...rates].sort(([a], [b]) => a - b);
		this.#keys = sorted.map(([key]) => key);
		const totals = [0];
		for (const [, rate] of sorted) {
			totals.push(totals.at(-1)! + rate);
		}

		this.#totals = totals;
		this.#unseenRate = (unseenShare * totals.at(-1)!) / (maxKey + 1);
	}

	rateOf({from, to}: Pick<KeyRange, 'from' | 'to'>): number {
		return this.#rateBelow(to + 1) - this.#rateBelow(from);
	}

	/** Cuts a range into pieces of at most `pieceRate`, unless a single key has more. */
	cut({from, to, holder}: UnownedKeys, pieceRate: number): readonly Piece[] {
		const rate = this.rateOf({from, to});
		if (rate <= pieceRate || from === to) {
			return [{from, to, holder, rate}];
		}

		const middle = this.#middleOf(from, to);
		return [
			...this.cut({from, to: middle - 1, holder}, pieceRate),
			...this.cut({from: middle, to, holder}, pieceRate),
		];
	}

	/** The key from which on the second half of the rate is; not the first key. */
	#middleOf(from: number, to: number): number {
		const half = (this.#rateBelow(from) + this.#rateBelow(to + 1)) / 2;
		let low = from + 1;
		let high = to;
		while (low < high) {
			const key = Math.ceil((low + high) / 2);
			if (this.#rateBelow(key) <= half) {
				low = key;
			} else {
				high = key - 1;
			}
		}

		return low;
	}

	#rateBelow(key: number): number {
		const index = partitionPoint(this.#keys, (other) => other < key);
		return this.#totals[index] + key * this.#unseenRate;
	}
}

function sum(values: Iterable<number>): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
