/** Lets a simulation settle, injects faults, heals it and lets it settle again. */
import {protocol, type Protocol} from './model-protocol.js';
import {type Conditions, type Fault} from './model-conditions.js';
import {ModelWorld} from './model-world.js';

export const settleMs = 8000;

export function runWorld(
	conditions: Conditions,
	faults: readonly Fault[],
	rules: Protocol = protocol,
	restMs = settleMs,
): ModelWorld {
	const world = new ModelWorld(conditions, rules);
	world.run(2000);
	for (const fault of faults) {
		world.apply(fault);
		world.run(100);
	}

	world.heal();
	world.run(restMs);
	return world;
}
