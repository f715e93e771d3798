import test from 'ava';
import fc from 'fast-check';
import {
	Course,
	deadlineOf,
	decisive,
	forwardedHeaders,
	headerFault,
	hedgeAfter,
	judgeAnswer,
	ranAfter,
	RetryBudget,
	untried,
	type AttemptEnd,
	type BackendServer,
} from '../src/index.js';

const end: fc.Arbitrary<AttemptEnd> = fc.oneof(
	fc.constant<AttemptEnd>({kind: 'unsent', message: ''}),
	fc.constant<AttemptEnd>({kind: 'declined', status: 421, message: ''}),
	fc.constant<AttemptEnd>({kind: 'declined', status: 503, message: ''}),
	fc.record({
		kind: fc.constant('lost' as const),
		message: fc.constant(''),
		silent: fc.boolean(),
		reset: fc.boolean(),
	}),
	fc.constant<AttemptEnd>({kind: 'answered', status: 200}),
	fc.constant<AttemptEnd>({kind: 'cut', message: ''}),
	fc.constant<AttemptEnd>({kind: 'cancelled'}),
);

/** Ends of the attempts that a request made, in order, and the last step. */
function play(
	course: Course,
	ends: readonly AttemptEnd[],
	replayable: boolean,
) {
	const made: AttemptEnd[] = [];
	let step: ReturnType<Course['next']> | undefined;
	let now = 0;
	for (const one of ends) {
		made.push(one);
		course = course.after(one);
		step = course.next(one, {now, hasBudget: true, replayable});
		if (step.kind !== 'again') {
			break;
		}

		now += step.afterMs + 1;
	}

	return {made, step};
}

test('a request that may not be repeated is tried again only after proofs that it did not run', (t) => {
	fc.assert(
		fc.property(
			fc.array(end, {minLength: 1}),
			fc.boolean(),
			fc.boolean(),
			(ends, keyed, replayable) => {
				const options = {idempotent: false, deadline: 5000, keyed};
				const {made} = play(Course.begin(options), ends, replayable);
				return made.slice(0, -1).every((one) => ranAfter(one) === 'not-run');
			},
		),
	);
	t.pass();
});

test('a refusal says not-run only if every attempt is proved not to have run', (t) => {
	fc.assert(
		fc.property(
			fc.array(end, {minLength: 1}),
			fc.boolean(),
			fc.boolean(),
			(ends, idempotent, keyed) => {
				const options = {idempotent, deadline: 5000, keyed};
				const {made, step} = play(Course.begin(options), ends, true);
				return (
					step?.kind !== 'refuse' ||
					(step.ran === 'not-run') ===
						made.every((one) => ranAfter(one) === 'not-run')
				);
			},
		),
	);
	t.pass();
});

test('no attempt begins after the deadline, and one whose body is gone is not repeated', (t) => {
	fc.assert(
		fc.property(end, fc.nat(10_000), fc.boolean(), (one, now, replayable) => {
			const course = Course.begin({
				idempotent: true,
				deadline: 5000,
				keyed: true,
			}).after(one);
			const step = course.next(one, {now, hasBudget: true, replayable});
			return step.kind !== 'again' || (replayable && now + step.afterMs < 5000);
		}),
	);
	t.pass();
});

test('retries stay under the burst plus the share of successes, for any sequence', (t) => {
	fc.assert(
		fc.property(
			fc.array(fc.boolean()),
			fc.double({min: 0, max: 1, noNaN: true}),
			fc.integer({min: 1, max: 50}),
			(events, share, burst) => {
				let budget = RetryBudget.of({share, burst});
				let successes = 0;
				let retries = 0;
				for (const success of events) {
					if (success) {
						successes++;
						budget = budget.earned();
					} else if (budget.hasOne) {
						retries++;
						budget = budget.spent();
					}
				}

				return retries <= burst + share * successes + 1e-6;
			},
		),
	);
	t.pass();
});

const fieldName = fc.constantFrom(
	'Accept',
	'X-Secret',
	'Connection',
	'TE',
	'Upgrade',
	'Transfer-Encoding',
	'X-Kingcup-Epoch',
	'X-Kingcup-Ran',
	'Keep-Alive',
);

test('no field for one connection, named by Connection, or internal is passed on', (t) => {
	fc.assert(
		fc.property(
			fc.array(
				fc.tuple(fieldName, fc.constantFrom('x-secret', 'close, Accept')),
			),
			(fields) => {
				const raw = fields.flat();
				const named = new Set(
					fields
						.filter(([name]) => name === 'Connection')
						.flatMap(([, value]) => value.toLowerCase().split(', ')),
				);
				const kept = forwardedHeaders(raw).filter(
					(_, index) => index % 2 === 0,
				);
				return kept.every(
					(name) =>
						['Accept', 'X-Secret'].includes(name) &&
						!named.has(name.toLowerCase()),
				);
			},
		),
	);
	t.pass();
});

test('a header that can be read in two ways is refused', (t) => {
	const faulty: ReadonlyArray<readonly [string[], string]> = [
		[['Content-Length', '3', 'content-length', '3'], '1.1'],
		[['Content-Length', '3', 'Transfer-Encoding', 'chunked'], '1.1'],
		[['Transfer-Encoding', 'gzip, chunked'], '1.1'],
		[['Transfer-Encoding', 'chunked', 'Transfer-Encoding', 'chunked'], '1.1'],
		[['Transfer-Encoding', 'chunked'], '1.0'],
		[['Host', 'a', 'Host', 'b'], '1.1'],
		[['X-Customer', 'a', 'X-Customer', 'b'], '1.1'],
		[['Connection', 'close, X-Key'], '1.1'],
	];
	for (const [raw, version] of faulty) {
		t.truthy(
			headerFault(['Host', 'a', ...raw], version),
			`raw: ${raw.join(' ')}`,
		);
	}

	t.is(
		headerFault(['Host', 'a', 'Transfer-Encoding', 'chunked'], '1.1'),
		undefined,
	);
});

test('an answer is passed on only with the id of its request and an end that can be seen', (t) => {
	const kindOf = (headers: Record<string, string>, method = 'GET') =>
		judgeAnswer('a', method, {status: 200, headers}).kind;
	const id = {'x-kingcup-request-id': 'a'};
	t.is(kindOf({...id, 'content-length': '3'}), 'pass');
	t.is(kindOf({...id, 'transfer-encoding': 'chunked'}), 'pass');
	t.is(kindOf(id, 'HEAD'), 'pass');
	t.is(kindOf(id), 'unusable');
	t.is(kindOf({'content-length': '3'}), 'unusable');
	t.is(
		kindOf({'x-kingcup-request-id': 'b', 'x-kingcup-ran': 'not-run'}),
		'unusable',
	);
	t.is(kindOf({...id, 'x-kingcup-ran': 'not-run'}), 'declined');
});

test('another attempt goes to another domain, else to another server', (t) => {
	const server = (
		backendServer: string,
		failureDomain: string,
	): BackendServer => ({
		backendServer,
		failureDomain,
		service: 'kaha',
		address: '127.0.0.1:1',
		out: false,
	});
	const a1 = server('a1', 'a');
	const a2 = server('a2', 'a');
	const b1 = server('b1', 'b');
	t.deepEqual(untried([a1, a2, b1], [a1]), [b1]);
	t.deepEqual(untried([a1, a2], [a1]), [a2]);
	t.deepEqual(untried([a1], [a1]), [a1]);
});

test('a deadline is a number of ms', (t) => {
	t.is(deadlineOf(undefined, 500), 500);
	t.is(deadlineOf('20', 500), 20);
	t.is(deadlineOf('2e3', 500), undefined);
	t.is(deadlineOf('-1', 500), undefined);
});

test('a second attempt is sent only where it can do no harm, once a request, and with time for its answer', (t) => {
	fc.assert(
		fc.property(
			fc.record({
				idempotent: fc.boolean(),
				keyed: fc.boolean(),
				deadline: fc.constant(5000),
			}),
			fc.array(end, {maxLength: 4}),
			fc.boolean(),
			fc.record({
				delayMs: fc.option(fc.nat(3000), {nil: undefined}),
				timeoutMs: fc.nat(5000),
				holdsBody: fc.boolean(),
				others: fc.nat(2),
				suspect: fc.boolean(),
			}),
			(options, ends, hedgedBefore, conditions) => {
				let course = Course.begin(options);
				for (const one of ends) {
					course = course.after(one);
				}

				course = hedgedBefore ? course.hedged() : course;
				const runs = ends.filter((one) => ranAfter(one) === 'unknown');
				const resets = ends.filter((one) => one.kind === 'lost' && one.reset);
				const {delayMs, timeoutMs, holdsBody, others, suspect} = conditions;
				const harmless =
					options.idempotent &&
					!options.keyed &&
					!hedgedBefore &&
					runs.length < 2 &&
					resets.length === 0 &&
					holdsBody &&
					others > 0 &&
					!suspect;
				const timely = delayMs !== undefined && 2 * delayMs <= timeoutMs;
				return (
					hedgeAfter(course, conditions) ===
					(harmless && timely ? delayMs : undefined)
				);
			},
		),
	);
	t.pass();
});

test('what decides of two that raced is the answer, else what may have run; each counts', (t) => {
	fc.assert(
		fc.property(end, end, (one, other) => {
			const {end: decided} = decisive([{end: one}, {end: other}]);
			const both = [one, other];
			const isAnswered = both.some(({kind}) => kind === 'answered');
			const isLost = both.some(({kind}) => kind === 'lost');
			const options = {idempotent: true, deadline: 5000, keyed: false};
			const course = Course.begin(options).after(one).after(other).hedged();
			return (
				(!isAnswered || decided.kind === 'answered') &&
				(!isLost || ['answered', 'cut', 'lost'].includes(decided.kind)) &&
				course.attempts === 2 &&
				(course.ran === 'not-run') ===
					both.every((two) => ranAfter(two) === 'not-run')
			);
		}),
	);
	t.pass();
});

test('a retry budget that is narrowed holds no more, and one that is widened earns the rest', (t) => {
	const narrowed = RetryBudget.of({share: 0.5, burst: 10}).within(2);
	t.false(narrowed.spent().spent().hasOne);
	const widened = narrowed.within(3).spent().spent();
	t.false(widened.hasOne);
	t.true(widened.earned().earned().hasOne);
});
