/** Four failure domains with three backend servers each, of a service divided by key and of one that is not. */
import {
	type Deployment,
	type RunningDaemon,
	type RunningServer,
} from '../deployment/deployment.js';

const domains = ['fd-a', 'fd-b', 'fd-c', 'fd-d'];
const serversPerDomain = 3;
const daemons = 3;

/** Everything that was started. */
export type Started = {
	readonly deployment: Deployment;
	readonly daemons: readonly RunningDaemon[];
	readonly servers: readonly RunningServer[];
};

/** Starts the servers and daemons, and writes the contract with the command line. */
export async function startDeployment(
	deployment: Deployment,
): Promise<Started> {
	const base = {
		slots: 3,
		connections: 130,
		checksFence: true,
		deadlineMs: 5000,
		slowStartMs: 0,
	};
	await deployment.createObject('service', 'ticket-desk', {
		...base,
		service: 'ticket-desk',
		slices: 256,
	});
	await deployment.createObject('service', 'kaha', {
		...base,
		service: 'kaha',
		slices: 0,
	});
	for (const domain of domains) {
		await deployment.createObject('failure-domain', domain, {
			failureDomain: domain,
			region: 'ph-luzon',
			out: false,
		});
	}

	const servers = await Promise.all(
		domains.flatMap((domain) => serversOf(deployment, domain)),
	);
	const vms = Array.from({length: daemons}, (_, index) => index);
	const running = await Promise.all(
		vms.map(async (index) =>
			deployment.daemon(`vm-${index + 1}`, domains[index]),
		),
	);
	const contract = deployment.writeJsonFile('contract.json', {
		customer: 'tiktak-haus',
		services: ['ticket-desk', 'kaha'],
		ratePerSecond: 1000,
		burst: 500,
		concurrency: 100,
	});
	const {code, lines} = await deployment.runCli('contract', 'apply', contract);
	if (code !== 0) {
		throw new Error(`contract apply: exit code ${code}: ${lines.join('\n')}`);
	}

	return {deployment, daemons: running, servers};
}

/** What was started, for people. */
export function describeDeployment({daemons, servers}: Started): string {
	const names = servers.map(({name}) => name).join(' ');
	const vms = daemons.map(({vm, entry}) => `${vm} ${entry}`).join(', ');
	return `daemons: ${vms}\nbackend servers: ${names}\n`;
}

function serversOf(
	deployment: Deployment,
	failureDomain: string,
): Array<Promise<RunningServer>> {
	return Array.from({length: serversPerDomain}, (_, index) => index).flatMap(
		(index) =>
			['ticket-desk', 'kaha'].map(async (service) =>
				deployment.server({
					name: `${service}-${failureDomain.slice(3)}${index + 1}`,
					service,
					failureDomain,
					keyed: service === 'ticket-desk',
				}),
			),
	);
}
