import test from 'ava';
import fc from 'fast-check';
import {CrashJudge, ExpiringSet, fingerprintOf} from '../src/index.js';

const options = {
	gatherMs: 10,
	rememberMs: 10_000,
	maxSuspects: 100,
	condemnsSoleSuspect: true,
};

test('only requests in flight at the crashes of two servers are condemned', (t) => {
	const crash = fc.record({
		server: fc.constantFrom('s1', 's2', 's3', 's4'),
		inFlight: fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd', 'e')),
	});
	fc.assert(
		fc.property(fc.array(crash), (crashes) => {
			const judge = new CrashJudge(options);
			const serversByFingerprint = new Map<string, Set<string>>();
			let now = 0;
			for (const {server, inFlight} of crashes) {
				judge.report(server, inFlight, now);
				now += 100;
				for (const fingerprint of inFlight) {
					serversByFingerprint.set(
						fingerprint,
						(serversByFingerprint.get(fingerprint) ?? new Set()).add(server),
					);
				}

				const {condemned} = judge.judge(now);
				if (
					condemned.some(
						(fingerprint) =>
							(serversByFingerprint.get(fingerprint)?.size ?? 0) < 2,
					)
				) {
					return false;
				}
			}

			return true;
		}),
	);
	t.pass();
});

test('the only suspect at the second crash is condemned, the other requests are not', (t) => {
	const judge = new CrashJudge(options);
	judge.report('s1', ['bad', 'innocent'], 0);
	t.deepEqual(judge.judge(20).condemned, []);
	judge.report('s2', ['bad'], 30);
	judge.report('s2', ['another'], 35);
	t.deepEqual(judge.judge(60).condemned, ['bad']);
});

test('several suspects at the second crash are not condemned before a third', (t) => {
	const judge = new CrashJudge(options);
	judge.report('s1', ['bad', 'innocent'], 0);
	judge.judge(20);
	judge.report('s2', ['bad', 'innocent'], 30);
	t.deepEqual(judge.judge(60).condemned, []);
	judge.report('s3', ['bad'], 70);
	t.deepEqual(judge.judge(100).condemned, ['bad']);
});

test('a suspect that was answered is cleared', (t) => {
	const judge = new CrashJudge(options);
	judge.report('s1', ['hot'], 0);
	judge.judge(20);
	judge.acquit('hot');
	judge.report('s2', ['hot'], 30);
	t.deepEqual(judge.judge(60).condemned, []);
});

test('only requests lost at two servers and not answered since are held back', (t) => {
	const event = fc.record({
		server: fc.constantFrom('s1', 's2', 's3'),
		lost: fc.uniqueArray(fc.constantFrom('a', 'b', 'c')),
		answered: fc.option(fc.constantFrom('a', 'b', 'c')),
	});
	fc.assert(
		fc.property(fc.array(event), (events) => {
			const judge = new CrashJudge(options);
			const serversByFingerprint = new Map<string, Set<string>>();
			for (const [now, {server, lost, answered}] of events.entries()) {
				if (answered) {
					judge.acquit(answered);
					serversByFingerprint.delete(answered);
				}

				for (const fingerprint of lost) {
					serversByFingerprint.set(
						fingerprint,
						(serversByFingerprint.get(fingerprint) ?? new Set()).add(server),
					);
				}

				const lostTwice = lost.filter(
					(fingerprint) => serversByFingerprint.get(fingerprint)!.size > 1,
				);
				t.deepEqual(judge.lost(server, lost, now), lostTwice);
			}
		}),
	);
});

test('an expiring set drops strings by time and by number', (t) => {
	const set = new ExpiringSet(2);
	set.add('a', 10);
	set.add('b', 20);
	t.true(set.has('a', 9));
	t.is(set.leftMs('b', 15), 5);
	t.is(set.leftMs('none', 15), 0);
	t.false(set.has('a', 10));
	set.add('c', 30);
	set.add('d', 30);
	t.deepEqual(set.held(0), ['c', 'd']);
});

test('a resend has the fingerprint of its request, and a request with another body has a different one', (t) => {
	const identity = {
		method: 'POST',
		path: '/kaha/a',
		customer: 'c',
		key: '',
		idempotencyKey: '',
		body: new Uint8Array([1, 2]),
	};
	t.is(fingerprintOf(identity), fingerprintOf({...identity}));
	const other = {...identity, body: new Uint8Array([1, 3])};
	t.not(fingerprintOf(identity), fingerprintOf(other));
});
