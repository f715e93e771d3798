import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {anyConditions, anyFaults} from './model-faults.js';
import {type Conditions, type Fault} from './model-conditions.js';
import {ModelWorld} from './model-world.js';
import {runWorld, settleMs} from './ran.js';

const runs = Number(process.env.RUNS ?? 150);

test('no slice ever has two owners, and every slice has an owner again once faults end', (t) => {
	const property = fc.property(
		anyConditions,
		anyFaults,
		(conditions, faults) => {
			const world = runWorld(conditions, faults);
			return world.violations.length === 0 && world.unowned().length === 0;
		},
	);
	fc.assert(property, {numRuns: runs});
	t.pass();
});

const regressions: ReadonlyArray<
	readonly [string, Conditions, readonly Fault[]]
> = [
	[
		'a guard written after a succession does not undo it',
		{
			seed: 1_039_796_453,
			checksFence: false,
			delayMs: 59,
			lost: 15,
			doubled: 3,
		},
		[
			{kind: 'outage', ms: 201},
			{kind: 'restart-server', server: 0},
		],
	],
	[
		'a late answer settles no later change',
		{seed: 1_181_958_426, checksFence: true, delayMs: 107, lost: 9, doubled: 8},
		[
			{kind: 'wait', ms: 50},
			{kind: 'restart-server', server: 2},
			{kind: 'move', slice: 1, to: 1},
			{kind: 'outage', ms: 851},
			{kind: 'wait', ms: 1251},
		],
	],
	[
		'a release whose answer is lost leaves no server without a successor',
		{seed: 87_127_379, checksFence: false, delayMs: 41, lost: 6, doubled: 3},
		[],
	],
	[
		'a guardian that was fenced takes its server back once the daemon that fenced it is gone',
		{seed: 0, checksFence: true, delayMs: 11, lost: 9, doubled: 9},
		[
			{kind: 'lose-answers', ms: 451},
			{kind: 'cut', from: 'a', to: 'a', ms: 50},
			{kind: 'move', slice: 1, to: 0},
			{kind: 'cut', from: 'd2.3', to: 'd3.4', ms: 3500},
			{kind: 'cut', from: 'd3.4', to: 'd2.3', ms: 3500},
			{kind: 'cut', from: 'd2.3', to: 'c', ms: 3500},
			{kind: 'cut', from: 'c', to: 'd2.3', ms: 3500},
			{kind: 'outage', ms: 3500},
			{kind: 'wait', ms: 0},
			{kind: 'move', slice: 2, to: 0},
			{kind: 'wait', ms: 3500},
			{kind: 'kill', daemon: 3},
		],
	],
	[
		'slices do not move back and forth between two lost servers',
		{seed: 0, checksFence: false, delayMs: 5, lost: 0, doubled: 0},
		[
			{kind: 'kill-server', server: 1},
			{kind: 'kill-server', server: 0},
		],
	],
];

for (const [name, conditions, faults] of regressions) {
	test(name, (t) => {
		const world = runWorld(conditions, faults);
		t.deepEqual(world.violations, []);
		t.deepEqual(world.unowned(), []);
	});
}

test('a guardian cut off from its server, its successor and the store moves nothing', (t) => {
	for (let seed = 1; seed <= 40; seed++) {
		const world = new ModelWorld({
			seed,
			checksFence: true,
			delayMs: 20 + seed,
			lost: seed % 8,
			doubled: seed % 9,
		});
		world.run(2000);
		world.apply({kind: 'cut', from: 'a', to: 'd0.1', ms: 4000});
		world.apply({kind: 'cut', from: 'd0.1', to: 'a', ms: 4000});
		world.apply({kind: 'cut', from: 'd0.1', to: 'd1.2', ms: 4000});
		world.apply({kind: 'cut', from: 'd1.2', to: 'd0.1', ms: 4000});
		world.apply({kind: 'outage', ms: 4000});
		world.run(4500);
		world.heal();
		world.run(settleMs);
		t.deepEqual(world.violations, [], `seed ${seed}`);
		t.deepEqual(world.unowned(), [], `seed ${seed}`);
	}
});

for (const [direction, cuts] of [
	['towards the successor', [['d0.1', 'd1.2']]],
	['towards the guardian', [['d1.2', 'd0.1']]],
	[
		'in both directions',
		[
			['d0.1', 'd1.2'],
			['d1.2', 'd0.1'],
		],
	],
] as const) {
	test(`a cut between guardian and successor ${direction} changes the guard and moves nothing`, (t) => {
		for (let seed = 1; seed <= 20; seed++) {
			const world = new ModelWorld({
				seed,
				checksFence: seed % 2 === 0,
				delayMs: 20,
				lost: 0,
				doubled: seed % 9,
			});
			world.run(2000);
			const {assignments} = world;
			const term = world.term('a');
			for (const [from, to] of cuts) {
				world.apply({kind: 'cut', from, to, ms: 4000});
			}

			world.run(settleMs);
			t.true(world.term('a') > term, `seed ${seed}: the guard has changed`);
			t.deepEqual(world.assignments, assignments, `seed ${seed}`);
			t.deepEqual(world.violations, [], `seed ${seed}`);
			t.deepEqual(world.unowned(), [], `seed ${seed}`);
		}
	});
}
