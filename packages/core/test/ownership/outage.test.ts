/**
 * A store outage together with a stalled daemon, a change of guard or a planned move.
 * None of these may leave a slice without an owner, or keep the plan from reassigning
 * the slices of a server that is lost later in the outage.
 */
import test, {type ExecutionContext} from 'ava';
import {type Fault} from './model-conditions.js';
import {ModelWorld} from './model-world.js';

const outageMs = 20_000;
const servedAgainMs = 3000;
const stepMs = 25;
const seeds = [1, 2, 3, 4, 5];

/** A simulation that has settled, with fast messages and none lost. */
function settledWorld(seed: number): ModelWorld {
	const world = new ModelWorld({
		seed,
		checksFence: true,
		delayMs: 10,
		lost: 0,
		doubled: 0,
	});
	world.run(2000);
	return world;
}

function assertEverySliceOwned(
	t: ExecutionContext,
	world: ModelWorld,
	message: string,
): void {
	t.deepEqual(world.violations, [], message);
	t.deepEqual(world.unowned(), [], message);
}

test('slices of a lost server are reassigned by the plan after a daemon has stalled in the outage', (t) => {
	for (const seed of seeds) {
		for (const daemon of [0, 1, 2, 3]) {
			for (const ms of [300, 600, 1500]) {
				const world = settledWorld(seed);
				world.apply({kind: 'outage', ms: outageMs});
				world.run(100);
				world.apply({kind: 'pause', daemon, ms});
				world.run(ms + 500);
				world.apply({kind: 'kill-server', server: 0});
				world.run(servedAgainMs);
				assertEverySliceOwned(
					t,
					world,
					`seed ${seed}, daemon ${daemon} for ${ms} ms`,
				);
			}
		}
	}
});

const changes: readonly Fault[] = [
	{kind: 'move', slice: 0, to: 2},
	{kind: 'handover', server: 0},
	{kind: 'handover', server: 1},
];

for (const change of changes) {
	test(`an outage at any step of a ${titleOf(change)} leaves no slice without an owner, then or after a loss`, (t) => {
		for (const seed of seeds) {
			for (let step = 0; step < 16; step++) {
				const world = settledWorld(seed);
				world.apply(change);
				world.run(step * stepMs);
				world.apply({kind: 'outage', ms: outageMs});
				world.run(servedAgainMs);
				assertEverySliceOwned(t, world, `seed ${seed}, step ${step}`);
				world.apply({kind: 'kill-server', server: 0});
				world.run(servedAgainMs);
				assertEverySliceOwned(
					t,
					world,
					`seed ${seed}, step ${step}, after the loss`,
				);
			}
		}
	});
}

test('a successor that took over by rank returns nothing to a lost server', (t) => {
	for (const seed of seeds) {
		const world = settledWorld(seed);
		world.apply({kind: 'cut', from: 'b', to: 'd1.2', ms: outageMs});
		world.apply({kind: 'cut', from: 'd1.2', to: 'b', ms: outageMs});
		world.run(2500);
		world.apply({kind: 'outage', ms: outageMs});
		world.apply({kind: 'kill', daemon: 1});
		world.run(servedAgainMs);
		assertEverySliceOwned(t, world, `seed ${seed}`);
	}
});

function titleOf(change: Fault): string {
	return change.kind === 'handover'
		? `change of guard of server ${change.server}`
		: 'planned move';
}
