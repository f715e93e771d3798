/** How long requests wait for room at a server, and in which order they leave. */
import 'reflect-metadata';
import test from 'ava';
import {
	BufferBudget,
	RetryPace,
	SeededRandom,
	ServerLoads,
	type AdmissionAsk,
	type ListedServer,
} from '@kingcuproute/core';
import {GatewayMetrics} from '../src/gateway/gateway-metrics.js';
import {type Examined} from '../src/gateway/server-admission.js';
import {
	WaitingRequests,
	type QueuedRequest,
	type WaitEnd,
} from '../src/gateway/waiting-requests.js';
import {type Log} from '../src/log/log.js';
import {ManualClock} from './timers.js';

const server: ListedServer = {
	backendServer: 'i-1',
	startedAt: 1,
	service: 's',
	address: 'i-1:80',
	failureDomain: 'a',
	slots: 3,
	draining: false,
	coldMs: 0,
};
const queue = 's/i-1';
const targetMs = 800;

const anExamined = (overrides: Partial<Examined> = {}): Examined => ({
	queue,
	server,
	room: {load: 3, waitMs: 300, runMs: 160, queueLoad: 4},
	verdict: {admitted: false, isLate: false, maxWaitMs: 200, maxLoad: 3},
	placeMs: 50,
	roomAt: 50,
	intervalMs: 10,
	candidates: 1,
	...overrides,
});

/** A queue over a server that has room only once the test says so. */
function aQueue(bufferLen = 1_000_000) {
	const clock = new ManualClock();
	const random = new SeededRandom(1);
	const loads = new ServerLoads(random);
	const buffers = new BufferBudget(bufferLen);
	const lines: string[] = [];
	const log = {
		routing(event: string, fields: Readonly<Record<string, unknown>>) {
			lines.push(`${event} ${JSON.stringify(fields)}`);
		},
	} as unknown as Log;
	const waiting = new WaitingRequests({
		admission: {pace: new RetryPace(random)},
		loads,
		clock,
		buffers,
		metrics: new GatewayMetrics(),
		log,
	});
	const fields: Partial<Examined> = {};
	const room = {count: 0, queue, fields};
	const ends = new Map<string, WaitEnd>();
	const enter = (id: string, ask: Partial<AdmissionAsk> = {}) => {
		const now = clock.now();
		const request: QueuedRequest = {
			id,
			caller: id,
			service: 's',
			ask: {
				rank: 0,
				urgentTargetMs: Infinity,
				due: now + targetMs,
				until: now + 1600,
				targetMs,
				...ask,
			},
			runMs: 160,
			arrivedAt: now,
			examine: () =>
				room.count-- > 0
					? undefined
					: anExamined({queue: room.queue, ...room.fields}),
		};
		const {ended, withdraw} = waiting.wait(request, anExamined(room.fields));
		void (async () => {
			ends.set(id, await ended);
		})();

		return withdraw;
	};

	return {clock, loads, waiting, buffers, room, ends, enter, lines};
}

test('a request that can not be sent in time is refused at once, and not after a wait', async (t) => {
	const {clock, ends, enter, room} = aQueue();
	room.fields = {placeMs: 5000, roomAt: 5000};
	enter('q1');
	await clock.advance(0);
	t.is(ends.get('q1')?.kind, 'refused');
});

test('a request without a prospect is refused within an eighth of its target latency, one with a prospect may wait longer', async (t) => {
	const {clock, ends, enter, loads} = aQueue();
	enter('q1');
	await clock.advance(99);
	t.false(ends.has('q1'));
	await clock.advance(6);
	t.is(ends.get('q1')?.kind, 'refused');
	loads.sent('i-1');
	enter('q2');
	await clock.advance(300);
	t.false(ends.has('q2'));
	await clock.advance(targetMs);
	t.is(ends.get('q2')?.kind, 'refused');
});

test('the end of a request lets one waiting request out at a time, the most urgent first', async (t) => {
	const {clock, ends, enter, waiting, room} = aQueue();
	enter('less', {rank: 1});
	enter('urgent');
	await clock.advance(1);
	room.count = 1;
	waiting.wake('s', 'i-1');
	await clock.advance(1);
	t.deepEqual([...ends.keys()], ['urgent']);
	room.count = 1;
	waiting.wake('s', 'i-1');
	await clock.advance(1);
	t.deepEqual(ends.get('less'), {kind: 'try', isOldest: false});
});

test('a request whose key has moved leaves the queue of the former owner when the view changes', async (t) => {
	const {clock, ends, enter, waiting, room} = aQueue();
	enter('q1');
	room.queue = 's/i-2';
	waiting.wakeAll();
	await clock.advance(1);
	t.is(ends.get('q1')?.kind, 'try');
});

test('a request that is withdrawn leaves no memory reserved, and one without memory for it is refused', async (t) => {
	const {clock, ends, enter, waiting, buffers} = aQueue(5000);
	const withdraw = enter('q1');
	t.false(buffers.tryReserve(2000));
	enter('q2');
	await clock.advance(0);
	t.is(ends.get('q2')?.kind, 'refused');
	withdraw();
	await clock.advance(0);
	t.is(ends.get('q1')?.kind, 'withdrawn');
	t.false(waiting.isWaiting(queue));
	t.true(buffers.tryReserve(5000));
});

test('the refusal of a waiting request tells its queue, expected wait, bounds and who was preferred', async (t) => {
	const {clock, ends, enter, waiting, room, lines} = aQueue();
	enter('q1');
	enter('q2');
	room.count = 1;
	waiting.wakeAll();
	await clock.advance(targetMs);
	const end = ends.get('q2');
	t.is(end?.kind, 'refused');
	t.like(end?.kind === 'refused' ? end.end.full : {}, {
		queue,
		expectedWaitMs: 300,
		maxWaitMs: 200,
		maxLoad: '3.00',
		queueLen: 1,
		preferred: 'q1',
	});
	t.regex(
		lines.join('\n'),
		/request-waits .*"id":"q2".*"queueLen":2,"place":1/,
	);
});
