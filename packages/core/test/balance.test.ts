import test from 'ava';
import fc from 'fast-check';
import {balancePolicy, shareOf} from '../src/index.js';
import {
	requestOf,
	pickedBy,
	poolsOf,
	serversNamed,
	serviceWith,
} from './balance-fixture.js';

test('the shares of all daemons sum to the total', (t) => {
	fc.assert(
		fc.property(
			fc.nat({max: 5000}),
			fc.integer({min: 1, max: 5000}),
			(total, count) => {
				let sum = 0;
				for (let rank = 0; rank < count; rank++) {
					sum += shareOf(total, {rank, count});
				}

				t.is(sum, total);
			},
		),
		{numRuns: 30},
	);
});

test('a cold server never gets more requests from all daemons together than its ramp allows', (t) => {
	const input = fc.record({
		daemons: fc.integer({min: 1, max: 30}),
		slots: fc.integer({min: 1, max: 12}),
		at: fc.nat({max: 10_000}),
		seed: fc.nat({max: 1000}),
	});
	fc.assert(
		fc.property(input, ({daemons, slots, at, seed}) => {
			const servers = serversNamed(4);
			const service = serviceWith({slots, coldShare: 1 / 3});
			let coldInFlight = 0;
			for (const pool of poolsOf(daemons, servers, seed)) {
				pool.gauges.recordReport('kaha-0', {cold: true}, 0);
				const request = requestOf(service, {
					candidates: servers,
					deadlineAt: at + 50,
				});
				for (let sent = 0; sent < 4 * slots; sent++) {
					const picked = pickedBy(pool.submit(request, sent, at));
					coldInFlight += picked.filter((name) => name === 'kaha-0').length;
				}
			}

			const rampShare = 1 / 3 + (2 / 3) * (at / service.slowStartMs);
			t.true(
				coldInFlight <= Math.max(1, slots * rampShare),
				`${coldInFlight} in flight`,
			);
		}),
	);
});

test('a server that keeps reporting itself cold is not ramped up, but only for a limited time', (t) => {
	const servers = serversNamed(2);
	const [pool] = poolsOf(1, servers);
	const {gauges} = pool;
	const coldMs = balancePolicy.maxReportedColdMs;
	for (let at = 0; at <= coldMs + 20_000; at += 500) {
		gauges.recordReport('kaha-0', {cold: true}, at);
		gauges.endFinishedRamps(serviceWith(), at);
		t.is(gauges.ramping().includes('kaha-0'), at < coldMs + 20_000);
	}
});

test('keyed requests to a cold owner are paced on each daemon, and no daemon is shut out', (t) => {
	const [owner] = serversNamed(1);
	const service = serviceWith({slices: 16});
	for (const pool of poolsOf(11, [owner])) {
		pool.gauges.recordReport('kaha-0', {cold: true}, 0);
		const request = requestOf(service, {candidates: [owner], keyed: true});
		t.is(pickedBy(pool.submit(request, 1, 0)).length, 1);
		t.is(pickedBy(pool.submit(request, 2, 1)).length, 0);
		pool.done('kaha-0', {kind: 'ran', latencyMs: 10}, 10);
		t.is(pickedBy(pool.tick(20)).length, 0);
		t.is(pickedBy(pool.tick(11 * 10 + 1)).length, 1);
	}
});

test('failures eject servers, never more than the configured share of them', (t) => {
	const failing = fc.array(fc.nat({max: 7}), {maxLength: 300});
	fc.assert(
		fc.property(failing, (order) => {
			const servers = serversNamed(8);
			const [pool] = poolsOf(1, servers);
			for (const [at, index] of order.entries()) {
				pool.done(`kaha-${index}`, {kind: 'failed', latencyMs: 1}, at);
				const ejected = pool.gauges.ejected(at).length;
				t.true(ejected <= Math.floor(8 * balancePolicy.maxEjectedShare));
			}

			const [server] = pickedBy(pool.submit(requestOf(serviceWith()), 1, 301));
			t.false(pool.gauges.ejected(301).includes(server));
		}),
	);
});

test('a server taken out of service gets no more requests, not even queued ones, and is ramped when it returns', (t) => {
	const servers = serversNamed(2);
	const service = serviceWith({slots: 1});
	const pool = poolsOf(4, servers)[0];
	const request = requestOf(service, {candidates: servers, deadlineAt: 1000});
	const running = pickedBy([
		...pool.submit(request, 1, 0),
		...pool.submit(request, 2, 0),
	]);
	t.is(new Set(running).size, 2);
	t.is(pool.submit(request, 3, 0).length, 0);
	pool.gauges.setServers(['kaha-1'], 1);
	t.deepEqual(pool.done('kaha-0', {kind: 'ran', latencyMs: 5}, 5), []);
	const next = pool.done('kaha-1', {kind: 'ran', latencyMs: 5}, 6);
	t.deepEqual(pickedBy(next), ['kaha-1']);
	pool.gauges.setServers(['kaha-0', 'kaha-1'], 7);
	t.deepEqual(pool.gauges.ramping(), ['kaha-0']);
});

test('a keyed request is sent only to the owner of its key', (t) => {
	const servers = serversNamed(3);
	const pool = poolsOf(1, servers)[0];
	const service = serviceWith({slots: 1, slices: 16});
	const request = requestOf(service, {
		candidates: [servers[1]],
		keyed: true,
		deadlineAt: 50,
	});
	const picked = [1, 2, 3, 4, 5, 6].flatMap((mark) =>
		pickedBy(pool.submit(request, mark, 0)),
	);
	t.deepEqual([...new Set(picked)], ['kaha-1']);
	t.is(picked.length, service.slots * balancePolicy.overcommit);
	const expired = pool.tick(51);
	t.is(expired.length, 6 - picked.length);
	for (const decision of expired) {
		t.true(
			decision.kind === 'refused' &&
				decision.refusal.ran === 'not-run' &&
				decision.refusal.reason === 'deadline',
		);
	}
});
