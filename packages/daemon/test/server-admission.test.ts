/** Which server a request gets under admission control, and where there is none. */
import 'reflect-metadata';
import test from 'ava';
import {
	RouteTable,
	SeededRandom,
	ServerLoads,
	type ListedServer,
	type RoutedService,
	type RouteRule,
} from '@kingcuproute/core';
import {type Deployment} from '@kingcuproute/platform';
import {ServerAdmission} from '../src/gateway/server-admission.js';
import {type ViewTask} from '../src/gateway/view-task.js';
import {Topic} from '../src/task/topic.js';
import {ManualClock} from './timers.js';

const slots = 2;
const service: RoutedService = {
	service: 's',
	healthPath: '/',
	connections: 1,
	coldRate: 1,
	coldMs: 0,
	keyed: true,
};
const rule: RouteRule = {
	route: 'r',
	host: 'h',
	pathPrefix: '/',
	repeatability: 'safe',
	timeoutMs: 1600,
	targetMs: 800,
	priority: 0,
	maxAttempts: 2,
	parts: [{service: 's', weight: 1}],
};
const owner: ListedServer = {
	backendServer: 'i-1',
	startedAt: 1,
	service: 's',
	address: 'i-1:80',
	failureDomain: 'a',
	slots,
	draining: false,
	coldMs: 0,
};

function anAdmission(daemons: number, rules: readonly RouteRule[] = [rule]) {
	const clock = new ManualClock();
	const random = new SeededRandom(1);
	const loads = new ServerLoads(random);
	const view = new Topic({});
	const admission = new ServerAdmission(
		loads,
		{view} as unknown as ViewTask,
		{admissionDaemons: 60} as unknown as Deployment,
		clock,
		random,
	);
	const limits = {headerLen: 1, bodyLen: 1, headerMs: 1, idleMs: 1};
	const config = {version: 1, rules, services: [service], limits};
	view.publish({daemons, servers: [owner], routes: new RouteTable(config)});
	/** Whether the owner has room for a request that its caller allows `allowedMs`. */
	const hasRoom = (allowedMs: number) => {
		const now = clock.now();
		const times = {arrivedAt: now, allowedMs, until: now + allowedMs};
		const {priority} = rule;
		const ask = admission.ask(rule, 's', {...times, priority});
		const request = {id: 'q', rule, ask, othersInTime: () => false};
		const crossing = {ownDomain: '', chargeMs: 0};
		const candidates = {
			service,
			servers: [owner],
			isRetry: false,
			crossing,
		};
		return admission.choose(request, candidates).isRight();
	};

	return {clock, loads, admission, hasRoom};
}

test('small fleets and services whose routes state neither priority nor target latency are served as before', (t) => {
	const unstated = {
		...rule,
		priority: Number.MAX_SAFE_INTEGER,
		targetMs: rule.timeoutMs,
	};
	t.true(anAdmission(60).admission.isActive('s'));
	t.false(anAdmission(59).admission.isActive('s'));
	t.false(anAdmission(60, [unstated]).admission.isActive('s'));
	t.false(anAdmission(60).admission.isActive('other'));
});

test('a request with more time left finds room where a retried one, which would end too late, does not', (t) => {
	const {loads, hasRoom} = anAdmission(60);
	loads.reported('i-1', {running: slots, waiting: 3, slots}, 0);
	t.true(hasRoom(1600));
	t.false(hasRoom(1200));
});

test('a server that slows down within some answers gets fewer requests', (t) => {
	const {loads, admission, hasRoom} = anAdmission(60);
	const idle = {running: 1, waiting: 0, slots, slowness: 1};
	for (let answer = 0; answer < 20; answer++) {
		loads.ran('i-1', 160, idle, 0);
		admission.ran('s', rule, 160, idle);
	}

	loads.reported('i-1', {running: slots, waiting: 3, slots}, 0);
	t.true(hasRoom(1600));
	for (let answer = 0; answer < 5; answer++) {
		loads.ran('i-1', 480, idle, 0);
	}

	t.false(hasRoom(1600));
});

test('a server that declines although its reports say that it is idle gets no more until some time has passed', async (t) => {
	const {clock, admission, hasRoom} = anAdmission(60);
	t.true(hasRoom(1600));
	admission.declined(owner, undefined);
	t.false(hasRoom(1600));
	await clock.advance(1000);
	t.true(hasRoom(1600));
});
