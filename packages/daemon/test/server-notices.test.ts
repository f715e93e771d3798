import 'reflect-metadata';
import test from 'ava';
import {type ListedServer, type Millis} from '@kingcuproute/core';
import {pino} from 'pino';
import {GatewayMetrics} from '../src/gateway/gateway-metrics.js';
import {ServerNotices} from '../src/gateway/server-notices.js';
import {type ViewTask} from '../src/gateway/view-task.js';
import {LineStream} from '../src/log/line-stream.js';
import {Log} from '../src/log/log.js';
import {Topic} from '../src/task/topic.js';
import {ManualClock} from './timers.js';

const drainMs: Millis = 2500;
const log = new Log(pino({base: {}}, new LineStream(() => undefined)));

function serverThat(draining: boolean): ListedServer {
	return {
		backendServer: 's',
		startedAt: 1,
		service: 'a',
		address: '127.0.0.1:1',
		failureDomain: 'd',
		slots: 1,
		draining,
		coldMs: 0,
	};
}

/** The notices of a daemon, and what it reads. */
function createNotices() {
	const clock = new ManualClock();
	const views = new Topic<{servers: readonly ListedServer[]}>({servers: []});
	const reading = {changedSince: -Infinity};
	const view = {
		view: views,
		serversFailedAt: -Infinity,
		serversReading: reading,
	} as unknown as ViewTask;
	const deployment = {bounds: {drainMs}};
	const metrics = new GatewayMetrics();
	const notices = new ServerNotices(
		view,
		deployment as ConstructorParameters<typeof ServerNotices>[1],
		clock,
		metrics,
		log,
	);
	views.publish({servers: [serverThat(false)]});
	const isUsed = () =>
		notices.candidates([serverThat(true)]).servers.length > 0;
	const readLeaving = (changedSince: Millis) => {
		reading.changedSince = changedSince;
		views.publish({servers: [serverThat(true)]});
	};

	return {clock, notices, isUsed, readLeaving};
}

test('a leaving server gets no requests later than half of the allowed time after its entry changed, however late that is read', async (t) => {
	for (const delayMs of [0, 400, 1200, 1700, 2400]) {
		const {clock, isUsed, readLeaving} = createNotices();
		await clock.advance(1000 + delayMs);
		readLeaving(1000);
		t.is(isUsed(), delayMs < drainMs / 2, `read after ${delayMs} ms`);
		await clock.advance(drainMs / 2 - delayMs);
		t.false(isUsed(), `read after ${delayMs} ms`);
	}
});

test('a server that said in an answer that it leaves is not used for longer once its entry shows an earlier time', async (t) => {
	const {clock, notices, isUsed, readLeaving} = createNotices();
	await clock.advance(2000);
	notices.recordLeaving(serverThat(true));
	readLeaving(1000);
	t.true(isUsed());
	await clock.advance(drainMs / 2 - 1000);
	t.false(isUsed());
});
