import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {startFleet} from './gateway-keepers.js';
import {
	initialServers,
	scenarios,
	FaultInjector,
	vms,
	type Fault,
} from './gateway-troubles.js';

const runs = Number(process.env.RUNS ?? 40);
/** Time after the last fault within which every key gets a holder again. */
const settleMs = 25_000;
const keyCount = 65_536;

/** Runs a scenario; returns its first violation, or undefined. */
async function findViolation(
	scenario: readonly Fault[],
): Promise<string | undefined> {
	const testFleet = startFleet(vms, initialServers);
	const {orders, pass} = testFleet;
	const faults = new FaultInjector(testFleet);
	let violation: string | undefined;
	const check = () => {
		violation ??= orders.doublyHeldKeys() ?? orders.fenceViolations[0];
	};

	for (const {at, act} of eventsOf(scenario, faults)) {
		await pass(at - testFleet.manualClock.now(), check);
		act();
	}

	await pass(settleMs, check);
	const held = orders.heldKeyCount();
	return violation ?? (held === keyCount ? undefined : `${held} keys are held`);
}

/** The starts and ends of the faults, sorted by time. */
function eventsOf(scenario: readonly Fault[], faults: FaultInjector) {
	let at = 1500;
	const events = scenario.flatMap((fault) => {
		at += fault.afterMs;
		return [
			{
				at,
				act() {
					faults.begin(fault);
				},
			},
			{
				at: at + fault.forMs,
				act() {
					faults.end(fault);
				},
			},
		];
	});
	return events.sort((a, b) => a.at - b.at);
}

test('no key ever has two holders, and every key has one after the faults end', async (t) => {
	const property = fc.asyncProperty(scenarios, async (scenario) => {
		const violation = await findViolation(scenario);
		if (violation !== undefined) {
			throw new Error(violation);
		}
	});
	await fc.assert(property, {numRuns: runs, includeErrorInReport: true});
	t.pass();
});
