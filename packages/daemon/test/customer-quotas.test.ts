import 'reflect-metadata';
import test from 'ava';
import {
	RouteTable,
	SeededRandom,
	type Customer,
	type FleetDemand,
	type RouteRule,
} from '@kingcuproute/core';
import {type Deployment} from '@kingcuproute/platform';
import {pino} from 'pino';
import {CustomerQuotas} from '../src/gateway/customer-quotas.js';
import {FleetReports} from '../src/gateway/fleet-reports.js';
import {GatewayMetrics} from '../src/gateway/gateway-metrics.js';
import {type GatewayView, type ViewTask} from '../src/gateway/view-task.js';
import {Log} from '../src/log/log.js';
import {Topic} from '../src/task/topic.js';
import {ManualClock} from './timers.js';

const daemons = 20;
const bounds = {quotaWindowMs: 5000, quotaExcess: 0.1, quotaSlack: 20};
const dune: Customer = {
	name: 'dune',
	keys: [],
	rate: 40,
	burst: 40,
	priority: undefined,
};
/** The most requests of `dune` in one window. */
const bound = 284;

class FakeReports extends FleetReports {
	demand: FleetDemand | undefined;
	source: () => ReadonlyMap<string, number> = () => new Map();

	override runTimes(): ReadonlyMap<string, number> {
		return new Map();
	}

	override setDemand(source: () => ReadonlyMap<string, number>): void {
		this.source = source;
	}
}

class Fixture {
	readonly clock = new ManualClock();
	readonly reports = new FakeReports();
	readonly view = new Topic({daemons} as GatewayView);
	readonly quotas = new CustomerQuotas(
		{view: this.view} as unknown as ViewTask,
		this.reports,
		{bounds} as unknown as Deployment,
		this.clock,
		new SeededRandom(1),
		new GatewayMetrics(),
		new Log(pino({level: 'silent'})),
	);

	async start(...customers: readonly Customer[]): Promise<void> {
		await this.quotas.start();
		this.configure(customers);
	}

	configure(customers: readonly Customer[]): void {
		const rules: readonly RouteRule[] = [];
		const limits = {headerLen: 1, bodyLen: 1, headerMs: 1, idleMs: 1};
		const config = {version: 1, rules, services: [], limits, customers};
		this.view.publish({...this.view.value, routes: new RouteTable(config)});
	}

	/** The requests admitted of `count`. */
	admitted(count: number, customer = dune): number {
		let admitted = 0;
		for (let index = 0; index < count; index++) {
			admitted += this.quotas.admit(customer).isRight() ? 1 : 0;
		}

		return admitted;
	}

	/** One second in which `count` requests come and all daemons together report `rate`. */
	async second(count: number, rate: number): Promise<number> {
		this.reports.source();
		const at = this.clock.now();
		this.reports.demand = {rates: new Map([['dune', rate]]), daemons, at};
		let admitted = 0;
		for (let part = 0; part < 10; part++) {
			await this.clock.advance(100);
			admitted += this.admitted(count / 10);
		}

		return admitted;
	}
}

test('a daemon without reports admits its equal part, and a customer without a quota is not limited', async (t) => {
	const fixture = new Fixture();
	await fixture.start(dune);
	t.true(fixture.admitted(1000) <= bound / daemons);
	t.is(fixture.admitted(1000, {...dune, name: 'x', rate: Infinity}), 1000);
	t.true(fixture.quotas.admit(undefined).isRight());
});

test('the part follows demand by the reports, and falls back when they stop', async (t) => {
	const fixture = new Fixture();
	await fixture.start(dune);
	let admitted = 0;
	for (let second = 0; second < 8; second++) {
		admitted = await fixture.second(30, 32);
	}

	t.is(admitted, 30);
	await fixture.clock.advance(3500);
	t.true(fixture.admitted(1000) <= bound / daemons);
});

test('once the fleet’s demand is above the quota, all daemons refuse the same part of it, with a time to wait', async (t) => {
	const fixture = new Fixture();
	await fixture.start(dune);
	let admitted = 0;
	for (let second = 0; second < 12; second++) {
		admitted = await fixture.second(100, 400);
	}

	t.true(admitted >= 6 && admitted <= 14, `${admitted} of 10`);
	const ends = Array.from({length: 20}, () => fixture.quotas.admit(dune));
	const end = ends
		.find((each) => each.isLeft())!
		.swap()
		.unsafeCoerce();
	t.like(end, {reason: 'over-quota', notRun: true});
	t.true(end.retryAfterMs! > 0 && end.retryAfterMs! <= 7500);
});

test('the first requests of a customer at a daemon are admitted where reports show that demand is low', async (t) => {
	const fixture = new Fixture();
	const small = {...dune, rate: 4, burst: 4};
	await fixture.start(small);
	for (let second = 0; second < 4; second++) {
		await fixture.second(0, 1);
	}

	t.is(fixture.admitted(2, small), 2);
});

test('reports that are odd, repeated or from the past change nothing', async (t) => {
	const fixture = new Fixture();
	await fixture.start(dune);
	for (let second = 0; second < 8; second++) {
		await fixture.second(30, 32);
	}

	const {at} = fixture.reports.demand!;
	for (const [rate, odd] of [
		[Number.NaN, at + 1],
		[-5, at + 2],
		[1e9, at],
		[1e9, at - 500],
		[Infinity, at + 3],
	]) {
		const rates = new Map([['dune', rate]]);
		fixture.reports.demand = {rates, daemons, at: odd};
		await fixture.clock.advance(200);
	}

	t.true(fixture.admitted(3) === 3);
});

test('requests that did not run are not counted, and a lower quota holds at once', async (t) => {
	const fixture = new Fixture();
	await fixture.start(dune);
	for (let index = 0; index < 1000; index++) {
		fixture.quotas.admit(dune).ifRight(({refund}) => {
			refund();
		});
	}

	t.true(fixture.admitted(1) === 1);
	await fixture.clock.advance(60_000);
	const lower = {...dune, rate: 1, burst: 0};
	fixture.configure([lower]);
	t.true(fixture.admitted(1000, lower) <= 2);
});

test('the report states the demand of customers that have any, refused requests included', async (t) => {
	const fixture = new Fixture();
	await fixture.start(dune, {...dune, name: 'quiet'});
	fixture.admitted(100);
	fixture.reports.source();
	fixture.admitted(100);
	await fixture.clock.advance(1000);
	const rates = fixture.reports.source();
	t.deepEqual([...rates.keys()], ['dune']);
	t.true(rates.get('dune')! >= 100);
	fixture.configure([]);
	t.is(fixture.reports.source().size, 0);
});
