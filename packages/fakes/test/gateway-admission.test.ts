/** What callers get when all servers are full and requests are admitted by target latency and priority. */
import test, {type ExecutionContext} from 'ava';
import {createSite, sendAnswer, siteConfig} from './gateway-site.js';
import {until} from './requests-fixture.js';

const slots = 3;
const usualTargetMs = 4000;
/** Long enough for a request to be held until a stopping daemon refuses it, or a busy machine has answered others. */
const longTargetMs = 25_000;

/** A site with one server that answers when told to. */
async function startFull(t: ExecutionContext, targetMs = usualTargetMs) {
	const site = createSite(t);
	site.settings.push('kingcuproute.admissionDaemons=1');
	const {routes} = siteConfig;
	const rows = routes.rows.map((row) => row.with(5, targetMs));
	site.config = {...siteConfig, routes: {...routes, rows}};
	const finishers: Array<() => void> = [];
	await site.addServer('i-1', 'plain', (req, res, body) => {
		finishers.push(() => {
			sendAnswer(req, res, body);
		});
	});
	await site.start();
	const pending: Array<Promise<number>> = [];
	/** Sends requests until one has to wait. */
	const fill = async () => {
		while (!site.log().some((line) => line.includes('event=request-waits'))) {
			const path = `/book/${pending.length}`;
			pending.push(site.statusOf(path, {}, 'b'));
			await until(
				async () =>
					finishers.length === pending.length ||
					site.log().some((line) => line.includes('event=request-waits')),
			);
		}
	};

	return {site, finishers, pending, fill};
}

test('a request that found no room is answered when a server gets room', async (t) => {
	const {site, finishers, pending, fill} = await startFull(t, longTargetMs);
	await fill();
	t.true(finishers.length > slots, 'the server has got more than its slots');
	let finished = 0;
	await until(async () => {
		finishers[finished++]?.();
		finished = Math.min(finished, finishers.length);
		return finishers.length === pending.length && finished === pending.length;
	});
	t.deepEqual(new Set(await Promise.all(pending)), new Set([200]));
	const metrics = await site.metrics();
	t.regex(metrics, /queue_exits_total{service="plain",exit="tried"} 1/);
	t.regex(metrics, /queued_requests{service="plain"} 0/);
});

test('a waiting request is refused in time if no server gets room, and its line says why', async (t) => {
	const {site, finishers, pending, fill} = await startFull(t);
	await fill();
	const sentAt = Date.now();
	const refused = await pending.at(-1)!;
	t.is(refused, 503);
	t.true(Date.now() - sentAt < usualTargetMs);
	t.is(finishers.length, pending.length - 1);
	const line = await site.line('reason=overloaded');
	t.regex(line, /queue=plain .*expectedWaitMs=\d+ maxWaitMs=\d+/);
	t.regex(line, /queueLen=1 place=0 waitedMs=\d+ .*preferred=/);
	for (const finish of finishers) {
		finish();
	}

	const sent = await Promise.all(pending.slice(0, -1));
	t.deepEqual(new Set(sent), new Set([200]));
});

test('a stop of the daemon refuses a request that waits for room', async (t) => {
	const {site, finishers, pending, fill} = await startFull(t, longTargetMs);
	await fill();
	const stopped = site.terminate();
	t.is(await pending.at(-1)!, 503);
	await site.line('reason=stopping');
	t.is(finishers.length, pending.length - 1);
	for (const finish of finishers) {
		finish();
	}

	const sent = await Promise.all(pending.slice(0, -1));
	t.deepEqual(new Set(sent), new Set([200]));
	t.is(await stopped, 0);
});

test('a caller that goes while its request waits leaves the queue, and its request is never sent', async (t) => {
	const {site, finishers, pending, fill} = await startFull(t, longTargetMs);
	await fill();
	const gone = new AbortController();
	const withdrawn = site.send('/book/gone', {}, 'b', gone.signal);
	await site.line('id=q/book/gone');
	gone.abort();
	await t.throwsAsync(withdrawn, {any: true});
	await until(async () => {
		const metrics = await site.metrics();
		return metrics.includes('exit="withdrawn"} 1');
	});
	let finished = 0;
	await until(async () => {
		finishers[finished++]?.();
		finished = Math.min(finished, finishers.length);
		return finishers.length === pending.length && finished === pending.length;
	});
	t.deepEqual(new Set(await Promise.all(pending)), new Set([200]));
});
