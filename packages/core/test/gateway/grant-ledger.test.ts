import test from 'ava';
import fc from 'fast-check';
import {GrantLedger, type SentGrant} from '../../src/index.js';

const now = 1000;
const later = 6000;

function grant(fence: number, isTaken: boolean, keys = [0, 9]): SentGrant {
	const [from, to] = keys;
	return {from, to, fence, overAt: later, isTaken};
}

function ledger(...grants: readonly SentGrant[]): GrantLedger {
	let all = GrantLedger.empty;
	for (const one of grants) {
		all = all.with(one, now);
	}

	return all;
}

test('a release is final once every grant was taken', (t) => {
	t.true(ledger(grant(1, true), grant(1, true)).isReleaseFinal(0, 9, now));
	t.true(GrantLedger.empty.isReleaseFinal(0, 9, now));
});

test('a grant without an answer may be taken after a release by the same fence', (t) => {
	const grants = ledger(grant(1, false), grant(1, true));
	t.false(grants.isReleaseFinal(0, 9, now));
	t.false(grants.isReleaseFinal(9, 20, now));
	t.true(grants.isReleaseFinal(10, 20, now));
	t.true(grants.isReleaseFinal(0, 9, later));
});

test('a grant without an answer is refused once a higher fence was taken for all of the keys', (t) => {
	t.true(ledger(grant(1, false), grant(2, true)).isReleaseFinal(0, 9, now));
	t.false(
		ledger(grant(1, false), grant(2, true, [0, 4])).isReleaseFinal(0, 9, now),
	);
	t.false(ledger(grant(1, false), grant(2, false)).isReleaseFinal(0, 9, now));
});

test('leases on keys are over with the last grant of any of them', (t) => {
	const early = {...grant(1, true, [0, 4]), overAt: now + 1};
	const grants = ledger(early, grant(1, true, [4, 9]));
	t.is(grants.overAt(0, 3), now + 1);
	t.is(grants.overAt(0, 4), later);
	t.is(grants.overAt(10, 20), -Infinity);
	t.is(grants.with(grant(1, true, [7, 7]), now + 1).overAt(0, 3), -Infinity);
});

/** A server that carries grants out in any order, and refuses those below a fence that it has seen. */
function holdsAfter(
	grants: readonly SentGrant[],
	order: readonly number[],
	key: number,
): boolean {
	const taken = grants.filter(({isTaken}) => isTaken);
	const late = order.flatMap((at) => grants[at] ?? []);
	const seen = taken.filter((one) => one.from <= key && key <= one.to);
	const fence = Math.max(-Infinity, ...seen.map((one) => one.fence));
	return late.some(
		(one) =>
			!one.isTaken &&
			one.from <= key &&
			key <= one.to &&
			taken.every(
				(before) =>
					before.to < one.from ||
					before.from > one.to ||
					before.fence <= one.fence,
			) &&
			one.fence >= fence,
	);
}

test('after a final release no late grant has its server hold a key again', (t) => {
	const keys = fc
		.tuple(fc.nat(9), fc.nat(9))
		.map(([a, b]) => [Math.min(a, b), Math.max(a, b)]);
	const sent = fc
		.tuple(fc.integer({min: 1, max: 4}), fc.boolean(), keys)
		.map(([fence, isTaken, span]) => grant(fence, isTaken, span));
	fc.assert(
		fc.property(
			fc.array(sent, {maxLength: 6}),
			fc.array(fc.nat(5), {maxLength: 6}),
			keys,
			(grants, order, [from, to]) => {
				if (ledger(...grants).isReleaseFinal(from, to, now)) {
					for (let key = from; key <= to; key++) {
						t.false(holdsAfter(grants, order, key));
					}
				}
			},
		),
	);
});
