/** Servers and daemons over four failure domains as separate processes, which can be lost and brought back. */
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {sliceOf, type SliceTable} from '@kingcuproute/core';
import {request} from 'undici';
import {
	Deployment,
	type RunningDaemon,
	type RunningServer,
} from '../../deployment/deployment.js';
import {Child} from '../../deployment/child.js';
import {Probes} from './probes.js';

const service = 'ticket-desk';
const domains = ['fd-a', 'fd-b', 'fd-c', 'fd-d'];
const slices = 32;
const settleMs = 30_000;
const calmMs = 1000;
const serverScript = fileURLToPath(
	new URL('../../fake-backend-server-process.js', import.meta.url),
);

/** How many processes of each kind. */
export type FleetSize = {readonly servers: number; readonly daemons: number};

export class BenchFleet {
	static async start(size: FleetSize): Promise<BenchFleet> {
		const deployment = await Deployment.start();
		const fleet = new BenchFleet(deployment);
		await fleet.#describe();
		for (let index = 0; index < size.servers; index++) {
			const failureDomain = domains[index % domains.length];
			const name = `desk-${index}`;
			const plan = {name, service, failureDomain, keyed: true};
			fleet.servers.set(name, await deployment.server(plan));
		}

		for (let index = 0; index < size.daemons; index++) {
			const domain = domains[index % domains.length];
			const daemon = await deployment.daemon(`vm-${index}`, domain);
			fleet.daemons.set(daemon.vm, daemon);
		}

		fleet.tellProbes();
		return fleet;
	}

	readonly servers = new Map<string, RunningServer>();
	readonly daemons = new Map<string, RunningDaemon>();
	readonly probes = new Probes(service, keysOfSlices());
	readonly #lost = new Set<string>();
	readonly #restarted: Child[] = [];

	private constructor(readonly deployment: Deployment) {}

	async stop(): Promise<void> {
		await this.probes.stop();
		await Promise.all(
			this.#restarted.map(async (child) => child.end('SIGKILL')),
		);
		await this.deployment.stop();
	}

	async table(): Promise<SliceTable> {
		const stored = await this.deployment.objects.get('table', service);
		return stored
			.map(({value}) => value as SliceTable)
			.orDefault({
				service,
				rows: [],
				guards: {},
				writer: '',
			});
	}

	/** Has callers sent to the daemons that are up. */
	tellProbes(): void {
		const up = [...this.daemons.values()].filter(({vm}) => !this.#lost.has(vm));
		this.probes.sendTo(up.map(({entry}) => entry));
	}

	async killServer(name: string): Promise<void> {
		this.#lost.add(name);
		await this.servers.get(name)!.child.end('SIGKILL');
	}

	async killDaemon(vm: string): Promise<void> {
		this.#lost.add(vm);
		this.tellProbes();
		await this.daemons.get(vm)!.child.end('SIGKILL');
	}

	async setOutage(outage: boolean): Promise<void> {
		const body = JSON.stringify({outage});
		const res = await request(`${this.deployment.origin}/faults`, {
			method: 'PUT',
			body,
		});
		await res.body.dump();
	}

	/** Starts again whatever was killed, servers at their old address. */
	async restart(): Promise<void> {
		for (const name of this.#lost) {
			const server = this.servers.get(name);
			const daemon = this.daemons.get(name);
			if (server) {
				this.servers.set(name, await this.#restartServer(server));
			} else if (daemon) {
				const {vm, failureDomain} = daemon;
				this.daemons.set(vm, await this.deployment.daemon(vm, failureDomain));
			}
		}

		this.#lost.clear();
		this.tellProbes();
	}

	/** Resolves once all keys are served, all servers guarded and own slices, and nothing moves; gives false if that does not come. */
	async settled(): Promise<boolean> {
		const deadline = performance.now() + settleMs;
		let calmSince = performance.now();
		while (performance.now() < deadline) {
			const since = performance.now();
			await sleep(150);
			if (!isAtRest(await this.table(), [...this.servers.keys()])) {
				calmSince = performance.now();
			}

			const isCalm = performance.now() - calmSince > calmMs;
			if (isCalm && this.probes.areServed(since - calmMs)) {
				return true;
			}
		}

		return false;
	}

	async #restartServer(server: RunningServer): Promise<RunningServer> {
		const {name, address} = server;
		const options = {name, keyed: true, slots: 3, checksFence: true};
		const port = address.split(':')[1];
		const child = new Child(name, serverScript, [
			JSON.stringify(options),
			port,
		]);
		this.#restarted.push(child);
		await child.line('listening');
		return {...server, child};
	}

	async #describe(): Promise<void> {
		await this.deployment.createObject('service', service, {
			service,
			slices,
			slots: 3,
			connections: 130,
			checksFence: true,
			deadlineMs: 5000,
			slowStartMs: 0,
		});
		await this.deployment.createObject('contract', 'tiktak-haus', {
			customer: 'tiktak-haus',
			services: [service],
			ratePerSecond: 100_000,
			burst: 100_000,
			concurrency: 10_000,
			weight: 1,
		});
		for (const failureDomain of domains) {
			const value = {failureDomain, region: 'main', out: false};
			await this.deployment.createObject(
				'failure-domain',
				failureDomain,
				value,
			);
		}
	}
}

function isAtRest({rows, guards}: SliceTable, servers: readonly string[]) {
	const owners = new Set(rows.map(({owner}) => owner));
	return servers.every(
		(name) =>
			owners.has(name) &&
			guards[name] !== undefined &&
			guards[name].incarnation !== '' &&
			guards[name].successor !== '' &&
			rows.every(({to, standby}) => to === undefined && standby !== ''),
	);
}

/** One key for each slice. */
function keysOfSlices(): readonly string[] {
	const keys: string[] = Array.from({length: slices});
	for (let index = 0, found = 0; found < slices; index++) {
		const key = `clock-${index}`;
		const slice = sliceOf(key, slices);
		if (keys[slice] === undefined) {
			keys[slice] = key;
			found++;
		}
	}

	return keys;
}
