import test from 'ava';
import fc from 'fast-check';
import {
	RetryState,
	deadlineOf,
	decisiveAttempt,
	forwardedHeaders,
	headerFault,
	hedgeDelayMs,
	checkAnswer,
	ranAfter,
	RetryBudget,
	preferUntried,
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

/** Makes attempts that end with `ends`, in order, until no retry follows; returns the ends reached and the last step. */
function makeAttempts(
	retryState: RetryState,
	ends: readonly AttemptEnd[],
	replayable: boolean,
) {
	const reached: AttemptEnd[] = [];
	let step: ReturnType<RetryState['next']> | undefined;
	let now = 0;
	for (const attemptEnd of ends) {
		reached.push(attemptEnd);
		retryState = retryState.after(attemptEnd);
		step = retryState.next(attemptEnd, {now, hasBudget: true, replayable});
		if (step.kind !== 'again') {
			break;
		}

		now += step.afterMs + 1;
	}

	return {reached, step};
}

test('a request that is not idempotent is retried only while it is proved not to have run', (t) => {
	fc.assert(
		fc.property(
			fc.array(end, {minLength: 1}),
			fc.boolean(),
			fc.boolean(),
			(ends, keyed, replayable) => {
				const options = {idempotent: false, deadline: 5000, keyed};
				const {reached} = makeAttempts(
					RetryState.begin(options),
					ends,
					replayable,
				);
				return reached
					.slice(0, -1)
					.every((attemptEnd) => ranAfter(attemptEnd) === 'not-run');
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
				const {reached, step} = makeAttempts(
					RetryState.begin(options),
					ends,
					true,
				);
				return (
					step?.kind !== 'refuse' ||
					(step.ran === 'not-run') ===
						reached.every((attemptEnd) => ranAfter(attemptEnd) === 'not-run')
				);
			},
		),
	);
	t.pass();
});

test('no attempt starts after the deadline, and a request whose body is gone is not retried', (t) => {
	fc.assert(
		fc.property(end, fc.nat(10_000), fc.boolean(), (end, now, replayable) => {
			const retryState = RetryState.begin({
				idempotent: true,
				deadline: 5000,
				keyed: true,
			}).after(end);
			const step = retryState.next(end, {now, hasBudget: true, replayable});
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
						budget = budget.afterSuccess();
					} else if (budget.hasRetry) {
						retries++;
						budget = budget.afterRetry();
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

test('no field that is hop-by-hop, named by Connection or internal is forwarded', (t) => {
	fc.assert(
		fc.property(
			fc.array(
				fc.tuple(fieldName, fc.constantFrom('x-secret', 'close, Accept')),
			),
			(fields) => {
				const raw = fields.flat();
				const connectionNames = new Set(
					fields
						.filter(([name]) => name === 'Connection')
						.flatMap(([, value]) => value.toLowerCase().split(', ')),
				);
				const forwardedNames = forwardedHeaders(raw).filter(
					(_, index) => index % 2 === 0,
				);
				return forwardedNames.every(
					(name) =>
						['Accept', 'X-Secret'].includes(name) &&
						!connectionNames.has(name.toLowerCase()),
				);
			},
		),
	);
	t.pass();
});

test('an ambiguous header is refused', (t) => {
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

test('an answer is passed on only with the id of its request and a framing that shows its end', (t) => {
	const kindOf = (headers: Record<string, string>, method = 'GET') =>
		checkAnswer('a', method, {status: 200, headers}).kind;
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

test('another attempt goes to another failure domain, else to another server', (t) => {
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
	t.deepEqual(preferUntried([a1, a2, b1], [a1]), [b1]);
	t.deepEqual(preferUntried([a1, a2], [a1]), [a2]);
	t.deepEqual(preferUntried([a1], [a1]), [a1]);
});

test('a deadline is a number of ms', (t) => {
	t.is(deadlineOf(undefined, 500), 500);
	t.is(deadlineOf('20', 500), 20);
	t.is(deadlineOf('2e3', 500), undefined);
	t.is(deadlineOf('-1', 500), undefined);
});

test('a hedged attempt is sent only if it is safe, once per request, and with time for its answer', (t) => {
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
				let retryState = RetryState.begin(options);
				for (const attemptEnd of ends) {
					retryState = retryState.after(attemptEnd);
				}

				retryState = hedgedBefore ? retryState.hedged() : retryState;
				const runs = ends.filter(
					(attemptEnd) => ranAfter(attemptEnd) === 'unknown',
				);
				const resets = ends.filter(
					(attemptEnd) => attemptEnd.kind === 'lost' && attemptEnd.reset,
				);
				const {delayMs, timeoutMs, holdsBody, others, suspect} = conditions;
				const isSafe =
					options.idempotent &&
					!options.keyed &&
					!hedgedBefore &&
					runs.length < 2 &&
					resets.length === 0 &&
					holdsBody &&
					others > 0 &&
					!suspect;
				const hasTime = delayMs !== undefined && 2 * delayMs <= timeoutMs;
				return (
					hedgeDelayMs(retryState, conditions) ===
					(isSafe && hasTime ? delayMs : undefined)
				);
			},
		),
	);
	t.pass();
});

test('of two concurrent attempts an answer decides, else the one that may have run, and both count', (t) => {
	fc.assert(
		fc.property(end, end, (first, second) => {
			const {end: decided} = decisiveAttempt([{end: first}, {end: second}]);
			const both = [first, second];
			const isAnswered = both.some(({kind}) => kind === 'answered');
			const isLost = both.some(({kind}) => kind === 'lost');
			const options = {idempotent: true, deadline: 5000, keyed: false};
			const retryState = RetryState.begin(options)
				.after(first)
				.after(second)
				.hedged();
			return (
				(!isAnswered || decided.kind === 'answered') &&
				(!isLost || ['answered', 'cut', 'lost'].includes(decided.kind)) &&
				retryState.attempts === 2 &&
				(retryState.ran === 'not-run') ===
					both.every((attemptEnd) => ranAfter(attemptEnd) === 'not-run')
			);
		}),
	);
	t.pass();
});

test('a retry budget with a lower burst drops the excess, and one with a higher burst has to earn it', (t) => {
	const lowered = RetryBudget.of({share: 0.5, burst: 10}).withBurst(2);
	t.false(lowered.afterRetry().afterRetry().hasRetry);
	const raised = lowered.withBurst(3).afterRetry().afterRetry();
	t.false(raised.hasRetry);
	t.true(raised.afterSuccess().afterSuccess().hasRetry);
});
