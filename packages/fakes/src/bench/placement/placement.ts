/**
 * The planner alone, without processes: what planning costs as services grow,
 * what a loss, a drain and a return move against the least possible, and how
 * even the load is, when a key's popularity goes by its rank to the power of -0.6;
 * then the same with hot keys that shift, and what counting keys costs a request.
 */
import process from 'node:process';
import {
	hash32,
	initialPlannerState,
	plan,
	SeededRandom,
	type Change,
	type PlannerState,
	type Situation,
	type SliceTable,
} from '@kingcuproute/core';
import {writeResult} from '../result.js';
import {carriedOut} from './carried-out.js';
import {fleetOf, type Size} from './fleet.js';
import {measureHotKeys} from './hot-keys.js';
import {sketchNanos} from './sketch.js';

const seed = 4;
const keys = 400_000;
const skew = 2.5;
const requests = 400_000;
const turnMs = 300;
const maxTurns = 300;
const timedPlans = 20;

const sizes: readonly Size[] = [
	{servers: 12, daemons: 11, slices: 256},
	{servers: 48, daemons: 100, slices: 1024},
	{servers: 200, daemons: 1000, slices: 4096},
];

/** Runs every size and writes out/bench-placement.json. */
export async function run(): Promise<void> {
	const rows = sizes.map((size) => measure(size));
	const hotKeys = sizes.flatMap((size) => measureHotKeys(size, seed));
	const sketch = sketchNanos(seed);
	const result = {seed, rows, hotKeys, sketch};
	process.stdout.write(JSON.stringify(result, undefined, '\t') + '\n');
	process.stdout.write(`${writeResult('placement', result)}\n`);
}

function measure(size: Size) {
	const start = fleetOf(size, skewedLoads(size.slices));
	const first = settle({...start, loads: new Map(), measured: false});
	const byCount = imbalance(start, first.table);
	const balanced = settle({...start, table: first.table});
	const [lost = ''] = start.servers.map(({backendServer}) => backendServer);
	const owned = balanced.table.rows.filter(({owner}) => owner === lost).length;
	const servers = start.servers.map((server) => ({
		...server,
		out: server.backendServer === lost,
	}));
	const drained = settle({...start, servers, table: balanced.table});
	const returned = settle({...start, table: drained.table});
	return {
		...size,
		heaviestSliceShareOfMean: heaviestSlice(start),
		imbalanceByCount: byCount,
		imbalanceByLoad: imbalance(start, balanced.table),
		movesToBalance: balanced.moves,
		drainMoves: drained.moves,
		drainLeast: owned,
		drainMovesAtOnce: drained.firstMoves,
		imbalanceDrained: imbalance({...start, servers}, drained.table),
		returnMoves: returned.moves,
		returnSeconds: (returned.turns * turnMs) / 1000,
		imbalanceReturned: imbalance(start, returned.table),
		idlePlanMs: idlePlanMs({...start, table: returned.table}),
		tableBytes: JSON.stringify(returned.table).length,
	};
}

type Settled = {
	readonly table: SliceTable;
	readonly moves: number;
	readonly firstMoves: number;
	readonly turns: number;
};

/** Plans and carries out in turn until nothing is left to do. */
function settle(from: Situation): Settled {
	let {table, now} = from;
	let state: PlannerState = initialPlannerState(now);
	let moves = 0;
	let firstMoves = 0;
	let quiet = 0;
	let turns = 0;
	for (; turns < maxTurns && quiet < 5; turns++) {
		const next = plan({...from, table, now}, state);
		state = next.state;
		moves += movesIn(next.changes);
		firstMoves = turns === 0 ? moves : firstMoves;
		quiet = next.table ? 0 : quiet + 1;
		table = next.table ? carriedOut(next.table) : table;
		now += turnMs;
	}

	return {table: table!, moves, firstMoves, turns: turns - quiet};
}

function movesIn(changes: readonly Change[]): number {
	return changes.filter(({kind}) => kind === 'move').length;
}

/** Load of the most loaded fit server over the mean. */
function imbalance({servers, loads}: Situation, {rows}: SliceTable): number {
	const sums = new Map<string, number>();
	for (const [slice, {owner}] of rows.entries()) {
		sums.set(owner, (sums.get(owner) ?? 0) + (loads.get(slice) ?? 0));
	}

	const fit = servers.filter(({out}) => !out);
	const most = Math.max(...sums.values());
	return round((most * fit.length) / requests);
}

function heaviestSlice({servers, loads}: Situation): number {
	return round((Math.max(...loads.values()) * servers.length) / requests);
}

function skewedLoads(slices: number): ReadonlyMap<number, number> {
	const random = new SeededRandom(seed);
	const loads = new Map<number, number>();
	for (let count = 0; count < requests; count++) {
		const key = Math.floor(keys * random.fraction() ** skew);
		const slice = hash32(`key-${key}`) % slices;
		loads.set(slice, (loads.get(slice) ?? 0) + 1);
	}

	return loads;
}

function idlePlanMs(situation: Situation): number {
	const start = performance.now();
	for (let count = 0; count < timedPlans; count++) {
		plan(situation, initialPlannerState(0));
	}

	return round((performance.now() - start) / timedPlans);
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}
