import test from 'ava';
import fc from 'fast-check';
import {CrashLosses, CrashReports, type CrashEvent} from '../../src/index.js';

const run = (index: number) => ({backendServer: `s${index}`, startedAt: 1});
const crash = (
	at: number,
	server: string,
	...fingerprints: readonly string[]
): CrashEvent => ({kind: 'crash', at, run: server, fingerprints});

test('only requests lost at a run, long enough ago and not answered since, are taken', (t) => {
	const settleMs = 500;
	const step = fc.record({
		kind: fc.constantFrom('lost', 'answered', 'take'),
		index: fc.integer({min: 0, max: 3}),
		fingerprint: fc.constantFrom('a', 'b', 'c'),
		pauseMs: fc.integer({min: 0, max: 400}),
	});
	fc.assert(
		fc.property(fc.array(step, {maxLength: 20}), (steps) => {
			const losses = new CrashLosses();
			const open = new Map<string, number>();
			let elapsedMs = 0;
			for (const {kind, index, fingerprint, pauseMs} of steps) {
				elapsedMs += pauseMs;
				const now = elapsedMs;
				if (kind === 'lost') {
					losses.lost(run(index), fingerprint, now);
					open.set(`${fingerprint}${index}`, now);
				} else if (kind === 'answered') {
					losses.answered(fingerprint);
					for (const each of open.keys()) {
						if (each.startsWith(fingerprint)) {
							open.delete(each);
						}
					}
				} else {
					const here = [...open].filter(([each]) => each.endsWith(`${index}`));
					const settled = here
						.filter(([, at]) => now - at >= settleMs)
						.map(([each]) => each);
					const {fingerprints, areAll} = losses.take(run(index), now);
					t.deepEqual(
						[...fingerprints].sort(),
						settled.map((each) => each.slice(0, 1)).sort(),
					);
					t.is(areAll, settled.length === here.length);
					for (const each of settled) {
						open.delete(each);
					}
				}

				t.is(losses.isEmpty, open.size === 0);
			}
		}),
	);
});

test('a broken connection is forgotten if its server goes on, and the crash of a failure domain takes bounded memory', (t) => {
	const losses = new CrashLosses();
	losses.lost(run(1), 'reset', 0);
	t.true(losses.ended(run(1), 10_000));
	t.false(losses.ended(run(1), 10_000));
	t.true(losses.isOver(run(1)));
	t.deepEqual(losses.take(run(1), 10_000), {fingerprints: [], areAll: true});
	for (let count = 0; count < 50_000; count++) {
		losses.lost(run(2), `innocent-${count}`, 20_000);
	}

	losses.lost(run(2), 'suspect', 20_000);
	losses.lost(run(3), 'suspect', 20_000);
	const {fingerprints} = losses.take(run(2), 22_000);
	t.is(fingerprints[0], 'suspect');
	t.true(fingerprints.length <= 100);
});

test('a request is condemned at the third server that it crashed, and never one that was answered in between', (t) => {
	const reports = new CrashReports();
	t.deepEqual(reports.add(crash(0, 's1', 'bad', 'hot'), 0), []);
	reports.add({kind: 'answer', at: 10, fingerprint: 'hot'}, 10);
	t.deepEqual(reports.add(crash(20, 's2', 'bad', 'hot'), 20), []);
	t.deepEqual(reports.add(crash(30, 's2', 'bad'), 30), []);
	t.is(reports.condemnedMs('bad', 30), 0);
	reports.add({kind: 'answer', at: 40, fingerprint: 'hot'}, 40);
	t.deepEqual(reports.add(crash(50, 's3', 'bad', 'hot'), 50), ['bad']);
	t.true(reports.condemnedMs('bad', 50) > 0);
	t.is(reports.condemnedMs('hot', 50), 0);
	t.is(reports.condemnedMs('bad', 50 + 600_000), 0);
	t.false(reports.isEmpty(50));
	t.true(reports.isEmpty(50 + 600_000));
});

test('daemons that hear of the same crashes in any order, and more than once, condemn the same requests', (t) => {
	const events = [
		crash(0, 's1', 'bad', 'x'),
		crash(10, 's2', 'bad', 'x'),
		crash(20, 's3', 'bad'),
		crash(30, 's4', 'y', 'x'),
		crash(40, 's5', 'y'),
	];
	fc.assert(
		fc.property(
			fc.shuffledSubarray(events, {minLength: events.length}),
			fc.integer({min: 0, max: events.length}),
			(order, own) => {
				const reports = new CrashReports();
				for (const event of order.slice(0, own)) {
					reports.add(event, 50);
				}

				reports.merge(order.slice(own), 50);
				t.false(reports.merge(order, 60).isNew);
				const condemned = ['bad', 'x', 'y'].filter(
					(each) => reports.condemnedMs(each, 60) > 0,
				);
				t.deepEqual(condemned, ['bad', 'x']);
			},
		),
	);
});

test('a daemon that starts again goes on with what it reported, and old events count no more', (t) => {
	const former = new CrashReports();
	former.add(crash(0, 's1', 'bad'), 0);
	former.add(crash(0, 's2', 'bad'), 0);
	const reports = new CrashReports();
	reports.restore(former.own);
	t.deepEqual(reports.merge(former.own, 100).condemned, []);
	t.deepEqual(reports.add(crash(200, 's3', 'bad'), 200), ['bad']);
	t.is(reports.own.length, 3);
	t.deepEqual(new CrashReports().merge(reports.own, 700_000), {
		isNew: false,
		condemned: [],
	});
});
