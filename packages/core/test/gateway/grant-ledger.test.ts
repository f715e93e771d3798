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
	let result = GrantLedger.empty;
	for (const sentGrant of grants) {
		result = result.with(sentGrant, now);
	}

	return result;
}

test('a release is final once every grant was taken', (t) => {
	t.true(ledger(grant(1, true), grant(1, true)).isReleaseFinal(0, 9, now));
	t.true(GrantLedger.empty.isReleaseFinal(0, 9, now));
});

test('an unanswered grant may be taken after a release with the same fence', (t) => {
	const grants = ledger(grant(1, false), grant(1, true));
	t.false(grants.isReleaseFinal(0, 9, now));
	t.false(grants.isReleaseFinal(9, 20, now));
	t.true(grants.isReleaseFinal(10, 20, now));
	t.true(grants.isReleaseFinal(0, 9, later));
});

test('an unanswered grant is refused once a grant of all its keys with a higher fence was taken', (t) => {
	t.true(ledger(grant(1, false), grant(2, true)).isReleaseFinal(0, 9, now));
	t.false(
		ledger(grant(1, false), grant(2, true, [0, 4])).isReleaseFinal(0, 9, now),
	);
	t.false(ledger(grant(1, false), grant(2, false)).isReleaseFinal(0, 9, now));
});

test('leases on keys have expired once the last grant of any of them has', (t) => {
	const early = {...grant(1, true, [0, 4]), overAt: now + 1};
	const grants = ledger(early, grant(1, true, [4, 9]));
	t.is(grants.overAt(0, 3), now + 1);
	t.is(grants.overAt(0, 4), later);
	t.is(grants.overAt(10, 20), -Infinity);
	t.is(grants.with(grant(1, true, [7, 7]), now + 1).overAt(0, 3), -Infinity);
});

/** Whether `key` is held after a release by a server that processes late grants in any order, and refuses those below a fence that it has seen. */
function holdsAfter(
	grants: readonly SentGrant[],
	order: readonly number[],
	key: number,
): boolean {
	const taken = grants.filter(({isTaken}) => isTaken);
	const late = order.flatMap((index) => grants[index] ?? []);
	const takenForKey = taken.filter(
		(grant) => grant.from <= key && key <= grant.to,
	);
	const highestFence = Math.max(
		-Infinity,
		...takenForKey.map((grant) => grant.fence),
	);
	return late.some(
		(lateGrant) =>
			!lateGrant.isTaken &&
			lateGrant.from <= key &&
			key <= lateGrant.to &&
			taken.every(
				(takenGrant) =>
					takenGrant.to < lateGrant.from ||
					takenGrant.from > lateGrant.to ||
					takenGrant.fence <= lateGrant.fence,
			) &&
			lateGrant.fence >= highestFence,
	);
}

test('after a final release no late grant makes the server hold a key again', (t) => {
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
