/** Random steps for simulated daemons that lend to homes at two levels. */
import fc from 'fast-check';
import {type Level} from '../src/index.js';
import {homeOfGroup, treeSize} from './limits-tree-daemon.js';

export type TreeStep =
	| {readonly kind: 'pass'; readonly ms: number}
	| {
			readonly kind: 'ask';
			readonly from: number;
			readonly to: number;
			readonly level: Level;
			readonly demand: number;
			/** Whether ask and answer arrive at once, or wait for a 'deliver' step. */
			readonly atOnce: boolean;
	  }
	| {
			readonly kind: 'ask-above';
			readonly from: number;
			readonly to: number;
			readonly atOnce: boolean;
	  }
	| {
			readonly kind: 'rounds';
			/** The demand of each daemon; undefined for one that doesn't ask. */
			readonly demands: ReadonlyArray<number | undefined>;
			readonly count: number;
	  }
	| {readonly kind: 'deliver' | 'repeat' | 'drop'; readonly at: number}
	| {readonly kind: 'restart' | 'leave'; readonly vm: number};

const vm = fc.nat({max: treeSize - 1});
const demand = fc.constantFrom(0, 0, 0, 0.1, 0.3, 1);
const usually = <T>(value: T, others: fc.Arbitrary<T>) =>
	fc.oneof({weight: 9, arbitrary: fc.constant(value)}, others);

const pass: fc.Arbitrary<TreeStep> = fc.record({
	kind: fc.constant('pass' as const),
	ms: fc.oneof(
		{weight: 6, arbitrary: fc.nat({max: 400})},
		{weight: 2, arbitrary: fc.nat({max: 3000})},
		fc.nat({max: 8000}),
	),
});

const ask: fc.Arbitrary<TreeStep> = vm.chain((from) =>
	fc.record({
		kind: fc.constant('ask' as const),
		from: fc.constant(from),
		to: usually(homeOfGroup(from), vm),
		level: usually<Level>('domain', fc.constant<Level>('single')),
		demand,
		atOnce: fc.boolean(),
	}),
);

const askAbove: fc.Arbitrary<TreeStep> = fc.record({
	kind: fc.constant('ask-above' as const),
	from: fc.oneof(
		{weight: 9, arbitrary: vm.map((each) => homeOfGroup(each))},
		vm,
	),
	to: usually(1, vm),
	atOnce: fc.boolean(),
});

const rounds: fc.Arbitrary<TreeStep> = fc.record({
	kind: fc.constant('rounds' as const),
	demands: fc.array(fc.option(demand, {nil: undefined, freq: 6}), {
		minLength: treeSize,
		maxLength: treeSize,
	}),
	count: fc.oneof(
		{weight: 2, arbitrary: fc.integer({min: 1, max: 6})},
		fc.integer({min: 7, max: 16}),
	),
});

const transmit: fc.Arbitrary<TreeStep> = fc.record({
	kind: fc.constantFrom(
		'deliver' as const,
		'deliver' as const,
		'deliver' as const,
		'repeat' as const,
		'drop' as const,
	),
	at: usually(0, fc.nat()),
});

const restartOrLeave: fc.Arbitrary<TreeStep> = fc.record({
	kind: fc.constantFrom(
		'restart' as const,
		'restart' as const,
		'leave' as const,
	),
	vm,
});

/** The steps of one simulation. */
export const treeSteps = fc.array(
	fc.oneof(
		{weight: 4, arbitrary: pass},
		{weight: 12, arbitrary: ask},
		{weight: 6, arbitrary: askAbove},
		{weight: 2, arbitrary: rounds},
		{weight: 6, arbitrary: transmit},
		{weight: 1, arbitrary: restartOrLeave},
	),
	{minLength: 100, maxLength: 300},
);
