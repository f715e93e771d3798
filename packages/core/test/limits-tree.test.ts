import test from 'ava';
import fc from 'fast-check';
import {
	DomainHome,
	Ledger,
	levelTermsOf,
	defaultLoanTerms,
} from '../src/index.js';
import {rounding} from './limits-fleet.js';
import {Tree} from './limits-tree.js';
import {levelTerms, treeShare, treeSize} from './limits-tree-daemon.js';
import {treeSteps} from './limits-tree-steps.js';

const runs = 500;

test('over two levels shares in use never sum to more than the limit, whatever is lost, late, duplicated or restarted, and whichever home is asked', (t) => {
	let maxBorrowed = 0;
	let borrowingRuns = 0;
	fc.assert(
		fc.property(treeSteps, (steps) => {
			const tree = new Tree();
			for (const each of steps) {
				tree.step(each);
				tree.updateMaxima();
				if (tree.maxInUse > 1 + rounding) {
					throw new Error(`${tree.maxInUse} of the limit in use`);
				}
			}

			maxBorrowed = Math.max(maxBorrowed, tree.maxBorrowed);
			borrowingRuns += tree.maxBorrowed > rounding ? 1 : 0;
		}),
		{numRuns: runs},
	);
	t.true(maxBorrowed > treeShare, `a group borrowed ${maxBorrowed} at most`);
	t.true(borrowingRuns > runs / 4, `groups borrowed in ${borrowingRuns} runs`);
});

/**
 * A moved share takes four asks: of the daemons that used it before, of their home,
 * of the home of the daemons that need it now, and of these daemons.
 */
const settleRounds = 4;

const demandsOfAll = (total: number) =>
	fc
		.array(fc.constantFrom<number>(0, 0, 1, 2, 5), {
			minLength: treeSize,
			maxLength: treeSize,
		})
		.map((weights) => {
			const sum = Math.max(
				1,
				weights.reduce((all, each) => all + each, 0),
			);
			return weights.map((each) => (each / sum) * total);
		});

/** A daemon measures its demand as a quarter above its use, so if this part of its demand is met, no request is refused. */
const requiredShare = 0.8;

/** A fleet whose daemons started so long ago that all promises made at their start have expired. */
function startedTree(): Tree {
	const tree = new Tree();
	tree.now += 30_000;
	return tree;
}

function unmetDemands(
	tree: Tree,
	demands: readonly number[],
): readonly string[] {
	return demands
		.map((demand, vm) => `${tree.usableShare(vm)} for ${demand}`)
		.filter((_, vm) => tree.usableShare(vm) < demands[vm] * requiredShare);
}

test('demands of up to 0.7 of the limit in total are met, except for their headroom, 4 rounds after any shift', (t) => {
	fc.assert(
		fc.property(
			fc.array(demandsOfAll(0.7), {minLength: 1, maxLength: 5}),
			fc.integer({min: settleRounds, max: 40}),
			(shifts, roundsEach) => {
				const tree = startedTree();
				for (const demands of shifts) {
					tree.rounds(demands, settleRounds);
					t.deepEqual(unmetDemands(tree, demands), []);
					tree.rounds(demands, roundsEach - settleRounds);
					t.deepEqual(unmetDemands(tree, demands), []);
				}
			},
		),
		{numRuns: 200},
	);
});

test('demands of up to 0.7 of the limit in total are met, except for their headroom, 4 rounds after an idle time', (t) => {
	fc.assert(
		fc.property(
			demandsOfAll(0.7),
			fc.integer({min: 20, max: 40}),
			(demands, idleRounds) => {
				const tree = startedTree();
				tree.rounds(
					demands.map(() => 0),
					idleRounds,
				);
				tree.rounds(demands, settleRounds);
				t.deepEqual(unmetDemands(tree, demands), []);
			},
		),
		{numRuns: 200},
	);
});

test('the promises and grants of a level outlast the grants and loans that they back, for any times', (t) => {
	const times = fc.record({
		askMs: fc.integer({min: 50, max: 500}),
		grantMs: fc.integer({min: 200, max: 60_000}),
		spareMs: fc.integer({min: 300, max: 60_000}),
	});
	fc.assert(
		fc.property(times, ({askMs, grantMs, spareMs}) => {
			const promiseMs = grantMs + spareMs;
			const single = {...defaultLoanTerms, askMs, grantMs, promiseMs};
			const {domain, fleet} = levelTermsOf(single);
			t.true(domain.grantMs + domain.relendMs >= fleet.promiseMs);
			t.true(domain.promiseMs > domain.grantMs + domain.relendMs);
			t.true(fleet.promiseMs > fleet.grantMs + fleet.relendMs);
			t.true(fleet.grantMs > domain.grantMs);
			t.true(domain.promiseMs + domain.idleMs > domain.idleAskMs * 2);
		}),
	);
});

test('the grants to two runs of a home together stay within what is lent, as daemons may still use the earlier one', (t) => {
	const ledger = new Ledger(levelTerms.fleet);
	const lender = {vm: 'vm-9.1', lent: 0.6, demand: 0, room: 0, echo: 0};
	ledger.ask(lender, 0);
	const [first, second] = ['vm-1.1', 'vm-1.2'].map((run) => {
		const home = new DomainHome(run, levelTerms, 0);
		home.nextAsk('vm-0.1/fleet', 0);
		const {ask} = home.nextAsk('vm-0.1/fleet', 0)!;
		return ledger.ask({...ask, demand: 1, echo: 0}, 1);
	});
	t.true(first.granted + second.granted <= 0.6 + rounding);
	t.true(first.granted > 0.5);
});
