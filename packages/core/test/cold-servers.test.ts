import test from 'ava';
import fc from 'fast-check';
import {balancePolicy, ColdDetector, type Pool} from '../src/index.js';
import {
	requestOf,
	pickedBy,
	poolsOf,
	serversNamed,
	serviceWith,
} from './balance-fixture.js';

const servers = serversNamed(4);
const usualMs = 10;
const warmAnswers = 100;

/** Gives each daemon `warmAnswers` answers of the usual latency from every server. */
function warmUp(pools: ReadonlyArray<Pool<number>>): void {
	for (const pool of pools) {
		for (let count = 0; count < warmAnswers; count++) {
			for (const {backendServer} of servers) {
				pool.done(backendServer, {kind: 'ran', latencyMs: usualMs}, count);
			}
		}
	}
}

/**
 * Lets one server answer each daemon in turn with `latencyMs`, while its peers answer
 * as many times more often as they are faster. All evidence is judged at once. Returns
 * the number of answers until the verdict is `kind`, or infinity after `maxAnswers`.
 */
function answersUntil(
	kind: 'cold' | 'recovered',
	detector: ColdDetector,
	pools: ReadonlyArray<Pool<number>>,
	{
		latencyMs,
		from,
		maxAnswers,
	}: {latencyMs: number; from: number; maxAnswers: number},
): number {
	for (let count = 0; count < maxAnswers; count++) {
		const {gauges} = pools[count % pools.length];
		const now = from + count;
		gauges.recordEnd('kaha-0', {kind: 'ran', latencyMs}, now);
		for (const {backendServer} of servers.slice(1)) {
			for (let at = 0; at < latencyMs; at += usualMs) {
				gauges.recordEnd(backendServer, {kind: 'ran', latencyMs: usualMs}, now);
			}
		}

		for (const evidence of gauges.takeEvidence()) {
			const verdict = detector.addEvidence(evidence, now);
			for (const pool of verdict ? pools : []) {
				pool.gauges.applyVerdict(verdict!, now);
			}

			if (verdict?.kind === kind) {
				return count + 1;
			}
		}
	}

	return Number.POSITIVE_INFINITY;
}

test('a server that turns cold without reporting it is soon detected, and then never gets more requests from all daemons together than its ramp allows', (t) => {
	const input = fc.record({
		daemons: fc.integer({min: 1, max: 20}),
		slots: fc.integer({min: 1, max: 12}),
		slowdown: fc.integer({min: 4, max: 10}),
		at: fc.nat({max: 10_000}),
	});
	fc.assert(
		fc.property(input, ({daemons, slots, slowdown, at}) => {
			const pools = poolsOf(daemons, servers);
			const service = serviceWith({slots, coldShare: 1 / 3});
			for (const pool of pools) {
				pool.gauges.endFinishedRamps(service, 0);
			}

			warmUp(pools);
			const latencyMs = usualMs * slowdown;
			const {coldScore, reportScore} = balancePolicy;
			const maxAnswers = 3 * (coldScore + daemons * reportScore);
			const answers = {latencyMs, from: warmAnswers, maxAnswers};
			const answerCount = answersUntil(
				'cold',
				new ColdDetector(balancePolicy),
				pools,
				answers,
			);
			t.true(answerCount <= maxAnswers);
			const from = warmAnswers - 1 + answerCount;
			let coldInFlight = 0;
			for (const pool of pools) {
				t.deepEqual(pool.gauges.ramping(), ['kaha-0']);
				const deadlineAt = from + at + 50;
				const request = requestOf(service, {candidates: servers, deadlineAt});
				for (let sent = 0; sent < 4 * slots; sent++) {
					const picked = pickedBy(pool.submit(request, sent, from + at));
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

test('a slow server that recovers gets its full share back long before the ramp of a cold server would end', (t) => {
	const pools = poolsOf(5, servers);
	const service = serviceWith();
	for (const pool of pools) {
		pool.gauges.endFinishedRamps(service, 0);
	}

	warmUp(pools);
	const detector = new ColdDetector(balancePolicy);
	const slow = {latencyMs: 80, from: warmAnswers, maxAnswers: 40};
	const slowAnswers = answersUntil('cold', detector, pools, slow);
	t.true(slowAnswers <= 40);
	const usual = {latencyMs: usualMs, from: 500, maxAnswers: 30};
	t.true(answersUntil('recovered', detector, pools.slice(0, 1), usual) <= 30);
	t.deepEqual(pools[0].gauges.ramping(), []);
});

test('a service whose servers all slow down together is not mistaken for cold', (t) => {
	const pools = poolsOf(3, servers);
	warmUp(pools);
	for (let slowdown = 1; slowdown < 20; slowdown += 0.05) {
		for (const {gauges} of pools) {
			for (const {backendServer} of servers) {
				const latencyMs = usualMs * Math.min(5, slowdown);
				gauges.recordEnd(
					backendServer,
					{kind: 'ran', latencyMs},
					slowdown * 100,
				);
			}
		}
	}

	t.true(pools.every(({gauges}) => gauges.takeEvidence().length === 0));
});

test('a server is found cold only on enough evidence, repeated cold verdicts keep their minimum interval, and only a cold server is found recovered', (t) => {
	const report = fc.record({
		afterMs: fc.nat({max: 300}),
		score: fc.double({min: -10, max: 10, noNaN: true}),
	});
	const reports = fc.array(report, {minLength: 10, maxLength: 60});
	let coldVerdicts = 0;
	fc.assert(
		fc.property(reports, (received) => {
			const detector = new ColdDetector(balancePolicy);
			let now = 0;
			let sum = 0;
			let coldAt = Number.NEGATIVE_INFINITY;
			let cold = false;
			for (const {afterMs, score} of received) {
				now += afterMs;
				sum += Math.max(0, score);
				const verdict = detector.addEvidence(
					{backendServer: 'kaha-0', score},
					now,
				);
				if (verdict?.kind === 'cold') {
					t.true(
						cold
							? now - coldAt >= balancePolicy.repeatMs
							: sum >= balancePolicy.coldScore,
					);
					coldVerdicts++;
					coldAt = now;
					cold = true;
					sum = 0;
				} else if (verdict) {
					t.true(cold);
					cold = false;
					sum = 0;
				}
			}
		}),
	);
	t.true(coldVerdicts > 0);
});
