import test from 'ava';
import fc from 'fast-check';
import {
	RetryAllowance,
	RetryBudget,
	SeededRandom,
	type Millis,
} from '../../src/index.js';

const windowMs: Millis = 10_000;
/** As on a site of 195 machines, where each daemon uses half of its part. */
const share = 0.1;
const slack = (430 * 0.5) / 195;
const requestsPerS = 8;
const stepMs = 25;

type Policy = {
	hasRetry(now: Millis): boolean;
	succeed(now: Millis): void;
	retry(now: Millis): void;
};

function allowancePolicy(): Policy {
	const allowance = new RetryAllowance({share, windowMs});
	return {
		hasRetry: (now) => allowance.hasRetry(slack, now),
		succeed(now) {
			allowance.recordSuccess(now);
		},
		retry(now) {
			allowance.recordRetry(now);
		},
	};
}

/** The former policy: a bucket that holds the daemon's part of the slack. */
function bucketPolicy(): Policy {
	let budget = RetryBudget.of({share, burst: Math.max(1, Math.floor(slack))});
	return {
		hasRetry: () => budget.hasRetry,
		succeed() {
			budget = budget.afterSuccess();
		},
		retry() {
			budget = budget.afterRetry();
		},
	};
}

/** The share of declined requests that are retried, if keys move every 5 s and a quarter of the requests meet a former owner for 400 ms. */
function retriedShare(policy: Policy, seed: number): number {
	const random = new SeededRandom(seed);
	let declined = 0;
	let retried = 0;
	for (let now = 0; now < 60_000; now += stepMs) {
		if (random.fraction() >= (requestsPerS * stepMs) / 1000) {
			continue;
		}

		const meetsFormerOwner =
			now > windowMs && now % 5000 < 400 && random.fraction() < 0.25;
		if (!meetsFormerOwner) {
			policy.succeed(now);
			continue;
		}

		declined++;
		if (policy.hasRetry(now)) {
			retried++;
			policy.retry(now);
			policy.succeed(now);
		}
	}

	return declined === 0 ? 1 : retried / declined;
}

test('in a large fleet whose keys move, nearly all declined requests are sent to the new owner', (t) => {
	let now = 0;
	let former = 0;
	const seeds = 40;
	for (let seed = 1; seed <= seeds; seed++) {
		now += retriedShare(allowancePolicy(), seed) / seeds;
		former += retriedShare(bucketPolicy(), seed) / seeds;
	}

	t.log(
		`retried: ${now.toFixed(3)}, by the former policy ${former.toFixed(3)}`,
	);
	t.true(now >= 0.99);
	t.true(former < now);
});

/** How many of `times` are in the window that ends at `end`. */
function inWindow(times: readonly Millis[], end: Millis): number {
	return times.filter((at) => at > end - windowMs && at <= end).length;
}

test('in every window, retries stay within the slack and the share of the successes in it and the window before', (t) => {
	const event = fc.tuple(fc.boolean(), fc.integer({min: 0, max: 900}));
	fc.assert(
		fc.property(
			fc.array(event, {maxLength: 300}),
			fc.double({min: 0, max: 5, noNaN: true}),
			(events, anySlack) => {
				const allowance = new RetryAllowance({share: 0.4, windowMs});
				const successes: Millis[] = [];
				const retries: Millis[] = [];
				let now = 0;
				for (const [succeeds, afterMs] of events) {
					now += afterMs;
					if (succeeds) {
						allowance.recordSuccess(now);
						successes.push(now);
					} else if (allowance.hasRetry(anySlack, now)) {
						allowance.recordRetry(now);
						retries.push(now);
					}
				}

				for (const end of retries) {
					const beyondFirst = inWindow(retries, end);
					const successesNow = inWindow(successes, end);
					const successesBefore = inWindow(successes, end - windowMs);
					const allowed = anySlack + 0.4 * (successesNow + successesBefore);
					t.true(beyondFirst <= allowed + 1e-9);
				}
			},
		),
	);
});

test('with no successes, only the slack is allowed, however long the failure lasts', (t) => {
	const allowance = new RetryAllowance({share, windowMs});
	for (let at = 0; at < windowMs; at += 100) {
		allowance.recordSuccess(at);
	}

	let retries = 0;
	for (let at = 3 * windowMs; at < 4 * windowMs; at += 50) {
		if (allowance.hasRetry(2, at)) {
			allowance.recordRetry(at);
			retries++;
		}
	}

	t.is(retries, 2);
});
