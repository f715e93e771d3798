/** What guarding costs: three daemons and a growing number of backend servers, which live in this process. */
import {Deployment, type RunningDaemon} from '../../deployment/deployment.js';
import {FakeBackendServer} from '../../server/fake-backend-server.js';
import {usageOf} from './usage.js';

const domains = ['fd-a', 'fd-b', 'fd-c'];
const slices = 256;
const settleMs = 10_000;

/** Means over the daemons; each guards a third of the servers and succeeds to another third. */
export type GuardRow = {
	readonly servers: number;
	readonly cpuPercent: number;
	readonly messagesPerSecond: number;
	readonly rssMegabytes: number;
};

export async function measureGuards(
	servers: number,
	seconds: number,
): Promise<GuardRow> {
	const deployment = await Deployment.start();
	const fakes: FakeBackendServer[] = [];
	try {
		await deployment.createObject('service', 'ticket-desk', {
			service: 'ticket-desk',
			slices,
			slots: 3,
			connections: 130,
			checksFence: true,
			deadlineMs: 5000,
			slowStartMs: 0,
		});
		for (let index = 0; index < servers; index++) {
			fakes.push(await serve(deployment, index));
		}

		const daemons = await Promise.all(
			domains.map(async (domain) => deployment.daemon(`vm-${domain}`, domain)),
		);
		await sleep(settleMs);
		return await measure(servers, daemons, seconds);
	} finally {
		await deployment.stop();
		await Promise.all(fakes.map(async (fake) => fake.close()));
	}
}

async function serve(
	deployment: Deployment,
	index: number,
): Promise<FakeBackendServer> {
	const name = `ticket-desk-${index}`;
	const fake = new FakeBackendServer({
		name,
		keyed: true,
		checksFence: true,
		slots: 3,
	});
	const port = await fake.listen(0);
	await deployment.createObject('backend-server', name, {
		backendServer: name,
		service: 'ticket-desk',
		failureDomain: domains[index % domains.length],
		address: `127.0.0.1:${port}`,
		out: false,
	});
	return fake;
}

async function measure(
	servers: number,
	daemons: readonly RunningDaemon[],
	seconds: number,
): Promise<GuardRow> {
	const before = await Promise.all(daemons.map(async (each) => usageOf(each)));
	await sleep(seconds * 1000);
	const after = await Promise.all(daemons.map(async (each) => usageOf(each)));
	const mean = (read: (index: number) => number) =>
		daemons.reduce((sum, _, index) => sum + read(index), 0) / daemons.length;
	return {
		servers,
		cpuPercent:
			mean((index) => after[index].cpuMs - before[index].cpuMs) /
			(seconds * 10),
		messagesPerSecond:
			mean((index) => after[index].messages - before[index].messages) / seconds,
		rssMegabytes: mean((index) => after[index].rssBytes) / 2 ** 20,
	};
}

async function sleep(ms: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, ms);
	});
}
