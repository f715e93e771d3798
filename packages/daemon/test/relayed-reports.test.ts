import 'reflect-metadata';
import test from 'ava';
import {SeededRandom} from '@kingcuproute/core';
import {type ReportMessage} from '@kingcuproute/mesh';
import {Left, Right} from 'purify-ts';
import {pino} from 'pino';
import {RelayedReports} from '../src/gateway/relayed-reports.js';
import {LineStream} from '../src/log/line-stream.js';
import {Log} from '../src/log/log.js';
import {ManualClock} from './timers.js';

const log = new Log(pino({base: {}}, new LineStream(() => undefined)));
const service = 'keyed';
const runMs = {slow: 300, fast: 100} as const;

/** Daemons that report to each other without a network: two watchers, w1 and w2; a keeper; and readers of w1. */
class ReportingFleet {
	readonly clock = new ManualClock();
	/** Each message is delivered this often. */
	copies = 1;
	keeper = 'keeper';
	readonly lost = new Set<string>();
	readonly peers = new Map([
		['keeper', 'w2'],
		['r1', 'w1'],
		['r2', 'w1'],
	]);

	readonly daemons = new Map<string, RelayedReports>();

	constructor() {
		for (const [index, vm] of ['w1', 'w2', 'keeper', 'r1', 'r2'].entries()) {
			this.#add(vm, index);
		}
	}

	of(vm: string): RelayedReports {
		return this.daemons.get(vm)!;
	}

	#add(vm: string, index: number): void {
		const {clock} = this;
		const reports = new RelayedReports(
			{vm},
			clock,
			new SeededRandom(index),
			log,
		);
		const isWatcher = vm.startsWith('w');
		reports.setDemand(() => new Map([['c', index + 1]]));
		reports.setObserved({
			rates: () => new Map([[service, new Map([[7, 10 * (index + 1)]])]]),
			runTimes: () =>
				new Map([
					[
						service,
						new Map([
							[
								's',
								{runMs: index === 0 ? runMs.slow : runMs.fast, readings: 1},
							],
						]),
					],
				]),
		});
		reports.setKeepers({
			services: () => [service],
			isKept: () => this.keeper === vm,
			addressOf: () => 'keeper',
		});
		reports.start({
			send: async (address, message) => this.#deliver(address, message),
			peer: () => this.peers.get(vm),
			watchers: () =>
				isWatcher ? ['w1', 'w2'].filter((each) => each !== vm) : undefined,
		});
		this.daemons.set(vm, reports);
	}

	async #deliver(address: string, message: ReportMessage) {
		if (this.lost.has(address)) {
			return Left('lost');
		}

		let answer = this.of(address).receive(message);
		for (let copy = 1; copy < this.copies; copy++) {
			answer = this.of(address).receive(message);
		}

		return Right(answer);
	}
}

test('the keeper gets the traffic of each daemon once, though messages arrive twice', async (t) => {
	const fleet = new ReportingFleet();
	fleet.copies = 2;
	await fleet.clock.advance(5000);
	const traffic = fleet.of('keeper').trafficOf(service);
	t.deepEqual(
		Object.fromEntries([...traffic].map(([vm, rates]) => [vm, rates.get(7)])),
		{w1: 10, w2: 20, keeper: 30, r1: 40, r2: 50},
	);
	t.true(fleet.of('r1').isDelivered(service));
	t.true(fleet.of('w1').isDelivered(service));
});

test('each daemon knows the demand and the run times of the fleet', async (t) => {
	const fleet = new ReportingFleet();
	await fleet.clock.advance(5000);
	for (const reports of fleet.daemons.values()) {
		t.deepEqual(reports.demand?.rates, new Map([['c', 15]]));
		t.is(reports.demand?.daemons, 5);
		t.is(reports.runTimes(service).get('s'), (runMs.slow + 4 * runMs.fast) / 5);
	}
});

test('a daemon that changes its watcher is counted once', async (t) => {
	const fleet = new ReportingFleet();
	await fleet.clock.advance(5000);
	fleet.peers.set('r1', 'w2');
	for (let step = 0; step < 20; step++) {
		await fleet.clock.advance(300);
		t.true(fleet.of('w2').demand!.rates.get('c')! <= 15);
	}

	t.is(fleet.of('w1').demand?.daemons, 5);
});

test('traffic that does not reach the keeper counts as not delivered', async (t) => {
	const fleet = new ReportingFleet();
	await fleet.clock.advance(5000);
	fleet.lost.add('keeper');
	await fleet.clock.advance(7000);
	t.false(fleet.of('r1').isDelivered(service));
	fleet.lost.clear();
	await fleet.clock.advance(5000);
	t.true(fleet.of('r1').isDelivered(service));
	// A former keeper takes messages and plans nothing.
	fleet.keeper = 'r2';
	await fleet.clock.advance(7000);
	t.false(fleet.of('r1').isDelivered(service));
});

test('without its watcher a daemon soon claims to know nothing of the fleet', async (t) => {
	const fleet = new ReportingFleet();
	await fleet.clock.advance(5000);
	fleet.lost.add('w1');
	await fleet.clock.advance(5000);
	t.is(fleet.of('r1').demand, undefined);
	t.is(fleet.of('r1').runTimes(service).size, 0);
	// The watcher that receives nothing still sends its own.
	t.is(fleet.of('w2').demand?.daemons, 3);
});

test('a malformed report is refused and changes nothing', async (t) => {
	const fleet = new ReportingFleet();
	await fleet.clock.advance(5000);
	const {demand} = fleet.of('w1');
	for (const report of [
		{vm: 'x', demand: [1]},
		{vm: 'x', customers: ['c'], demand: [-1]},
		{vm: '', customers: ['c'], demand: [1]},
		{vm: 'x', ageMs: Number.NaN},
		{vm: 'x', traffic: [{service, keys: [70_000], rates: [1]}]},
	]) {
		t.throws(() =>
			fleet.of('w1').receive({from: 'x', reports: [report], forward: true}),
		);
	}

	t.deepEqual(fleet.of('w1').demand?.rates, demand?.rates);
});
