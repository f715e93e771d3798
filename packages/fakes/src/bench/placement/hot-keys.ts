/**
 * Imbalance while 95 hot keys shift, for three planners that hear of the same
 * requests, in reports as from a large fleet: one that hears of slices alone, one
 * that hears of keys too but gives them no rows, and one that gives them rows.
 */
import {HeavyKeys, loadReport, SeededRandom} from '@kingcuproute/core';
import {fleetOf, type Size} from './fleet.js';
import {HotRun} from './hot-run.js';
import {
	evenShares,
	KeyPopulation,
	rankedShares,
	type Shares,
} from './key-population.js';

const turnMs = 1000;
const reportsPerTurn = 12;
const requestsPerReport = 2000;
const mostInReport = {slices: 48, keys: 16};
const shifts = 3;
const turnsPerShift = 90;
/** Turns at the end of a shift that are taken as settled. */
const settledTurns = 30;
const noKeys: ReadonlyMap<string, number> = new Map();

const planners = [
	{name: 'slicesAlone', hearsKeys: false, rows: 0},
	{name: 'keysWithoutRows', hearsKeys: true, rows: 0},
	{name: 'rows', hearsKeys: true, rows: 95},
] as const;

/** One line for each way in which the hot keys share their half. */
export function measureHotKeys(size: Size, seed: number) {
	const ways: ReadonlyArray<readonly [string, Shares]> = [
		['even', evenShares],
		['by rank to the power of -0.6', rankedShares],
	];
	return ways.map(([hotKeysShare, shares]) => {
		const keys = new KeyPopulation(size.slices, shares);
		const [alone, heard, found] = simulate(size, keys, seed);
		return {
			...size,
			hotKeysShare,
			hottestKeyShareOfMean: round((shares[0] * size.servers) / 2),
			outcomes: [alone, heard, found],
			ratio: round(found.imbalance / alone.imbalance),
			settledRatio: round(found.settled / alone.settled),
			settledRatioOfRows: round(found.settled / heard.settled),
		};
	});
}

/** What each planner comes to: load of the most loaded server over the mean, over all turns and over the settled ones. */
function simulate(size: Size, keys: KeyPopulation, seed: number) {
	const random = new SeededRandom(seed);
	const runs = planners.map((planner) => ({
		...planner,
		run: new HotRun(fleetOf(size, new Map()), planner.rows),
		seen: [] as number[],
		settled: [] as number[],
	}));
	for (let turn = 0; turn < shifts * turnsPerShift; turn++) {
		const set = Math.floor(turn / turnsPerShift);
		const shares = keys.sliceShares(set);
		hear(runs, keys, {set, turn, random});
		for (const {run, seen, settled} of runs) {
			run.turn(turn * turnMs);
			const most = run.most(shares, (key) => keys.share(key, set));
			seen.push(most * size.servers);
			if (turn % turnsPerShift >= turnsPerShift - settledTurns) {
				settled.push(most * size.servers);
			}
		}
	}

	return runs.map(({name, run, seen, settled}) => ({
		planner: name,
		imbalance: mean(seen),
		settled: mean(settled),
		moves: run.moves,
		named: run.named,
		mostRows: run.mostRows,
	}));
}

type Hearer = {readonly hearsKeys: boolean; readonly run: HotRun};

/** Reports of one turn, to every planner. */
function hear(
	runs: readonly Hearer[],
	keys: KeyPopulation,
	{
		set,
		turn,
		random,
	}: {
		readonly set: number;
		readonly turn: number;
		readonly random: SeededRandom;
	},
): void {
	for (let report = 0; report < reportsPerTurn; report++) {
		const counted = countedBy(keys, set, random);
		const chance = random.fraction();
		for (const {hearsKeys, run} of runs) {
			const known = hearsKeys ? counted : {...counted, keys: noKeys};
			const said = loadReport(known, keys.slices, mostInReport, chance);
			run.hear(said, turn * turnMs);
		}
	}
}

/** What one daemon counts between two reports, of some of its requests. */
function countedBy(keys: KeyPopulation, set: number, random: SeededRandom) {
	const slices = new Map<number, number>();
	const batch = new Map<string, number>();
	for (let count = 0; count < requestsPerReport; count++) {
		const {key, slice} = keys.draw(random, set);
		slices.set(slice, (slices.get(slice) ?? 0) + 1);
		batch.set(key, (batch.get(key) ?? 0) + 1);
	}

	return {slices, keys: HeavyKeys.empty.withBatch(batch).counts};
}

function mean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return round(sum / values.length);
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}
