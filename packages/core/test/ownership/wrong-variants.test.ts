/** The check for a single owner must fail when any one mechanism of the protocol is removed. */
import test from 'ava';
import fc from 'fast-check';
import {decide, type GuardianState} from '../../src/index.js';
import {
	fastMessages,
	slowMessages,
	anyScenarios,
	lateMessages,
} from './model-faults.js';
import {protocol, timing, type Protocol} from './model-protocol.js';
import {type Conditions} from './model-conditions.js';
import {runWorld} from './ran.js';

const seed = 20_261_204;
const runs = 600;
const rightRuns = 150;

/** Decides in a state changed by `assumed`; the result keeps the real values of the fields that may be assumed. */
function decideAsIf(
	assumed: (state: GuardianState) => Partial<GuardianState>,
): Protocol['decide'] {
	return (state, now) => {
		const assumption = assumed(state);
		const step = decide({...state, ...assumption}, now);
		const {consents, lent, borrowed, timing, leaseOverAt} = state;
		const unchanged = {consents, lent, borrowed, timing};
		const orderLeaseOverAt = step.state.leaseOverAt;
		return {
			...step,
			state: {
				...step.state,
				...unchanged,
				leaseOverAt: Math.max(leaseOverAt, orderLeaseOverAt),
			},
		};
	};
}

/** Decides as if every daemon had consented. */
const withoutConsent = decideAsIf(({standing, peers}) => {
	const {guard, tableVersion} = standing;
	const term = guard?.term ?? 0;
	const consent = {term, leaseOverAt: -Infinity, tableVersion};
	const daemons = [
		...peers.candidates,
		...(guard?.former ?? []),
		guard?.guardian ?? '',
		guard?.successor ?? '',
	];
	return {consents: new Map(daemons.map((daemon) => [daemon, consent]))};
});

// With the usual durations, the wait for a move is longer than a loan.
const longLoans = {...timing, loanMs: 3000};

const variants: ReadonlyArray<
	readonly [string, Partial<Protocol>, fc.Arbitrary<Conditions>]
> = [
	['moves without consent', {decide: withoutConsent}, slowMessages],
	[
		'a guardian that needs no loan',
		{
			decide: decideAsIf(({standing}) => ({
				borrowed: {term: standing.guard?.term ?? 0, until: Infinity},
			})),
		},
		slowMessages,
	],
	[
		'a successor that does not wait for its loan',
		{
			decide: decideAsIf(() => ({lent: {term: 0, until: -Infinity}})),
			timing: longLoans,
		},
		fastMessages,
	],
	['a server that takes late orders', {refusesLate: false}, lateMessages],
	[
		'moves before the lease is over',
		{
			decide: decideAsIf(({timing: own}) => ({
				leaseOverAt: -Infinity,
				timing: {...own, marginMs: -own.leaseMs},
			})),
		},
		slowMessages,
	],
];

for (const [name, change, conditions] of variants) {
	test(`the check detects: ${name}`, (t) => {
		const {failed, numRuns} = check({...protocol, ...change}, conditions);
		t.log(`detected after ${numRuns} runs`);
		t.true(failed);
	});
}

for (const [how, timingInUse, conditions] of [
	['usual loans', timing, slowMessages],
	['long loans', longLoans, fastMessages],
	['late messages', timing, lateMessages],
] as const) {
	test(`the protocol passes the same scenarios, with ${how}`, (t) => {
		const rules = {...protocol, timing: timingInUse};
		const {counterexample} = check(rules, conditions, rightRuns);
		t.is(counterexample, null);
	});
}

function check(
	rules: Protocol,
	anyConditions: fc.Arbitrary<Conditions>,
	numRuns = runs,
) {
	const property = fc.property(
		anyConditions,
		anyScenarios,
		(conditions, faults) =>
			runWorld(conditions, faults, rules, 1500).violations.length === 0,
	);
	return fc.check(property, {seed, numRuns, endOnFailure: true});
}
