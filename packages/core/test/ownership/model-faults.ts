/** Random faults for the simulation, with short scenarios that aim at weak spots of the protocol. */
import fc from 'fast-check';
import {type Conditions, type Fault} from './model-conditions.js';

const daemon = fc.nat(3);
const server = fc.nat(2);
const ms = fc.integer({min: 50, max: 3000});
const endpoint = fc.constantFrom(
	'a',
	'b',
	'c',
	'd0.1',
	'd1.2',
	'd2.3',
	'd3.4',
	'store',
);

const singleFault: fc.Arbitrary<Fault> = fc.oneof(
	fc.record({kind: fc.constant('wait' as const), ms}),
	fc.record({kind: fc.constant('pause' as const), daemon, ms}),
	fc.record({kind: fc.constant('kill' as const), daemon}),
	fc.record({kind: fc.constant('kill-server' as const), server}),
	fc.record({kind: fc.constant('restart-server' as const), server}),
	fc.record({
		kind: fc.constant('cut' as const),
		from: endpoint,
		to: endpoint,
		ms,
	}),
	fc.record({kind: fc.constant('outage' as const), ms}),
	fc.record({kind: fc.constant('lose-answers' as const), ms}),
	fc.record({kind: fc.constant('move' as const), slice: fc.nat(3), to: server}),
	fc.record({kind: fc.constant('handover' as const), server}),
);

/** A server's guardian is cut off from its successor, and from the store or the server. */
const guardianCutOff: fc.Arbitrary<readonly Fault[]> = fc
	.record({
		server,
		other: fc.constantFrom('store' as const, 'server' as const),
		isOutage: fc.boolean(),
		to: server,
		waitMs: fc.integer({min: 0, max: 1500}),
	})
	.map(({server: index, other, isOutage, to, waitMs}) => {
		const durationMs = 3500;
		const guardian = `d${index}.${index + 1}`;
		const otherEnd = other === 'store' ? 'store' : ['a', 'b', 'c'][index];
		return [
			...cutBetween(guardian, `d${index + 1}.${index + 2}`, durationMs),
			...cutBetween(guardian, otherEnd, durationMs),
			...(isOutage ? [{kind: 'outage', ms: durationMs} as const] : []),
			{kind: 'wait', ms: waitMs},
			{kind: 'move', slice: index, to},
			{kind: 'wait', ms: durationMs - waitMs},
		];
	});

/** A server restarts and is granted its slices again while one of them is planned to move. */
const moveDuringRegrant: fc.Arbitrary<readonly Fault[]> = fc
	.record({server, to: server, waitMs: fc.integer({min: 200, max: 700})})
	.map(({server: index, to, waitMs}) => [
		{kind: 'restart-server', server: index},
		{kind: 'wait', ms: waitMs},
		{kind: 'move', slice: index, to},
		{kind: 'wait', ms: 2000},
	]);

/** A guardian is paused around a takeover. */
const guardianStall: fc.Arbitrary<readonly Fault[]> = fc
	.record({
		daemon,
		server,
		to: server,
		ms: fc.integer({min: 400, max: 2000}),
		isOutage: fc.boolean(),
	})
	.map(({daemon: index, server: lost, to, ms: durationMs, isOutage}) => [
		...(isOutage ? [{kind: 'outage', ms: durationMs} as const] : []),
		{kind: 'pause', daemon: index, ms: durationMs},
		{kind: 'wait', ms: durationMs / 2},
		{kind: 'move', slice: index, to},
		{kind: 'kill-server', server: lost},
	]);

const scenario = fc.oneof(
	guardianCutOff,
	moveDuringRegrant,
	moveDuringRegrant,
	guardianStall,
);

/** Single faults, with some scenarios among them. */
export const anyFaults: fc.Arbitrary<readonly Fault[]> = fc
	.array(
		fc.oneof(
			{
				weight: 8,
				arbitrary: singleFault.map((fault): readonly Fault[] => [fault]),
			},
			{weight: 3, arbitrary: scenario},
		),
		{maxLength: 16},
	)
	.map((parts) => parts.flat());

/** Scenarios alone. */
export const anyScenarios: fc.Arbitrary<readonly Fault[]> = fc
	.array(scenario, {minLength: 1, maxLength: 3})
	.map((parts) => parts.flat());

export const anyConditions: fc.Arbitrary<Conditions> = fc.record({
	seed: fc.nat(),
	checksFence: fc.boolean(),
	delayMs: fc.integer({min: 5, max: 120}),
	lost: fc.nat(15),
	doubled: fc.nat(15),
});

/** Many late and duplicated messages, and mostly servers without a fence. */
export const slowMessages: fc.Arbitrary<Conditions> = fc.record({
	seed: fc.nat(),
	checksFence: fc.constantFrom(true, false, false),
	delayMs: fc.integer({min: 40, max: 120}),
	lost: fc.nat(15),
	doubled: fc.integer({min: 5, max: 15}),
});

/** Servers without a fence; most messages are sent twice, and now and then one of the two is late. */
export const lateMessages: fc.Arbitrary<Conditions> = fc.record({
	seed: fc.nat(),
	checksFence: fc.constant(false),
	delayMs: fc.integer({min: 80, max: 120}),
	lost: fc.nat(5),
	doubled: fc.constant(90),
	late: fc.constant(15),
});

/** Servers without a fence, and messages that arrive quickly. */
export const fastMessages: fc.Arbitrary<Conditions> = fc.record({
	seed: fc.nat(),
	checksFence: fc.constant(false),
	delayMs: fc.integer({min: 5, max: 15}),
	lost: fc.nat(5),
	doubled: fc.nat(5),
});

function cutBetween(
	one: string,
	other: string,
	durationMs: number,
): readonly Fault[] {
	return [
		{kind: 'cut', from: one, to: other, ms: durationMs},
		{kind: 'cut', from: other, to: one, ms: durationMs},
	];
}
