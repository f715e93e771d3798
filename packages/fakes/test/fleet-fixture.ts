/** Starts fleets of daemons and reads their status. */
import {type ExecutionContext} from 'ava'; // eslint-disable-line ava/use-test
import {request} from 'undici';
import {Deployment, type RunningDaemon} from '../src/index.js';

const domains = ['fd-a', 'fd-b', 'fd-c', 'fd-d'];
const pollMs = 50;
const settleMs = 10_000;
/** Limit until a change is in force in the whole fleet. */
export const inForceLimitMs = 3000;

type Status = {
	readonly version: number;
	readonly members: ReadonlyArray<{readonly id: string; readonly vm: string}>;
};

type InForce = {
	readonly inForce: boolean;
	readonly lagging: readonly string[];
};

/** Starts a deployment that is stopped with the test. */
export async function startDeployment(
	t: ExecutionContext,
): Promise<Deployment> {
	const deployment = await Deployment.start();
	t.teardown(async () => deployment.stop());
	return deployment;
}

/** Starts daemons, spread over the failure domains; resolves once all know each other. */
export async function startFleet(
	deployment: Deployment,
	count: number,
): Promise<readonly RunningDaemon[]> {
	const daemons = await Promise.all(
		Array.from({length: count}, async (_, index) =>
			deployment.daemon(`vm-${index + 1}`, domains[index % domains.length]),
		),
	);
	for (const daemon of daemons) {
		await until(async () => {
			const {members} = await statusOf(daemon);
			return members.length === count;
		});
	}

	return daemons;
}

export async function getJson<T>(url: string): Promise<T> {
	const res = await request(url);
	return (await res.body.json()) as T;
}

export async function statusOf({operator}: RunningDaemon): Promise<Status> {
	return getJson(`http://${operator}/status`);
}

/** Whether a version is in force everywhere, as this daemon sees it, and which daemons lag behind it. */
export async function inForceAt(
	{operator}: RunningDaemon,
	version: number,
): Promise<InForce> {
	return getJson(`http://${operator}/fleet/in-force?version=${version}`);
}

/** Sets the faults that the platform injects. */
export async function setPlatformFaults(
	{origin}: Deployment,
	faults: Readonly<Record<string, unknown>>,
): Promise<void> {
	await request(`${origin}/faults`, {
		method: 'PUT',
		body: JSON.stringify(faults),
	});
}

export async function sleep(ms: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, ms);
	});
}

/** Resolves once the condition holds; throws after `limitMs`. */
export async function until(
	condition: () => Promise<boolean>,
	limitMs = settleMs,
): Promise<void> {
	const end = performance.now() + limitMs;
	while (!(await condition())) {
		if (performance.now() > end) {
			throw new Error(
				`condition not met within ${limitMs} ms: ${condition.toString()}`,
			);
		}

		await sleep(pollMs);
	}
}

/** A contract for the service `kaha`. */
export function contractOf(customer: string, ratePerSecond: number) {
	return {
		customer,
		services: ['kaha'],
		ratePerSecond,
		burst: 10,
		concurrency: 10,
		weight: 1,
	};
}

/** The version of a customer's contract in the store. */
export async function versionOf(deployment: Deployment, customer: string) {
	const stored = await deployment.objects.get('contract', customer);
	return stored.unsafeCoerce().version;
}

/** Adds the service `kaha`, which has no keys, with one server. */
export async function addKaha(deployment: Deployment): Promise<void> {
	await deployment.createObject('service', 'kaha', {
		service: 'kaha',
		slices: 0,
		slots: 3,
		connections: 130,
		checksFence: true,
		deadlineMs: 5000,
		slowStartMs: 0,
	});
	await deployment.server({
		name: 'kaha-1',
		service: 'kaha',
		failureDomain: 'fd-a',
		keyed: false,
	});
}
