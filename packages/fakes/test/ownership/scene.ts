/** A deployment in separate processes: a daemon in each of four failure domains, and a server of a keyed service in three of them. */
import {
	sliceOf,
	type Guard,
	type ServerState,
	type SliceTable,
} from '@kingcuproute/core';
import {request} from 'undici';
import {
	Deployment,
	Link,
	type RunningDaemon,
	type RunningServer,
} from '../../src/index.js';
import {MeshLinks} from './mesh-links.js';

const service = 'ticket-desk';
const unkeyedService = 'kaha';
export const slices = 12;
const domains = ['fd-a', 'fd-b', 'fd-c', 'fd-d'];
const requestTimeoutMs = 400;
const pauseMs = 20;
const startTimeoutMs = 30_000;

/** The documented limit of 2000 ms until a key is served again, and 1000 ms for scheduling delays of the test machine. */
export const servedAgainMs = 2000 + 1000;

export type SceneOptions = {
	readonly checksFence?: boolean;
	/** Whether the daemons reach the servers through links that can fail. */
	readonly hasServerLinks?: boolean;
	/** Ownership settings of every daemon, added to the usual ones. */
	readonly ownership?: Readonly<Record<string, unknown>>;
	/** Placement settings of every daemon that differ from the defaults. */
	readonly placement?: Readonly<Record<string, unknown>>;
	/** Whether the daemons reach each other through links that can fail. */
	readonly hasMeshLinks?: boolean;
	/** Whether the daemons of the last two domains reach the store through a link that can fail. */
	readonly hasStoreLink?: boolean;
};

/** Placement settings under which no slice moves to balance load: a fleet of this size does not reach these shares. */
export const withoutBalancing = {startShare: 1, stopShare: 1};

export class Scene {
	static async start(options: SceneOptions = {}): Promise<Scene> {
		const deployment = await Deployment.start();
		const scene = new Scene(deployment, options);
		try {
			await scene.#startProcesses();
		} catch (error) {
			await scene.stop();
			throw error;
		}

		return scene;
	}

	readonly servers = new Map<string, RunningServer>();
	readonly daemons: RunningDaemon[] = [];
	/** Servers of services without keys. */
	readonly unkeyed: RunningServer[] = [];
	readonly links = new Map<string, Link>();
	readonly mesh: MeshLinks;
	readonly storeLink: Link;
	readonly checksFence: boolean;

	private constructor(
		readonly deployment: Deployment,
		private readonly options: SceneOptions,
	) {
		this.checksFence = options.checksFence ?? true;
		this.mesh = new MeshLinks(deployment);
		this.storeLink = new Link(deployment.origin.slice('http://'.length));
	}

	async stop(): Promise<void> {
		await this.deployment.stop();
		await this.mesh.close();
		await this.storeLink.close();
		for (const link of this.links.values()) {
			await link.close();
		}
	}

	/**
	 * Resolves once the table names a guardian and a successor for every server's
	 * present incarnation, and every daemon serves every slice; throws if this takes
	 * longer than `startTimeoutMs`.
	 */
	async waitUntilSettled(): Promise<void> {
		const deadline = performance.now() + startTimeoutMs;
		for (;;) {
			const table = await this.table();
			const isEachGuarded =
				table !== undefined &&
				Object.values(table.guards).every(
					({incarnation, successor}) => incarnation !== '' && successor !== '',
				);
			if (isEachGuarded) {
				break;
			}

			await this.#pauseUnlessPast(deadline);
		}

		for (let slice = 0; slice < slices; slice++) {
			for (const daemon of this.daemons) {
				while (!(await this.isServed(keyOf(slice), daemon))) {
					await this.#pauseUnlessPast(deadline);
				}
			}
		}

		// A guardian needs a moment after the start of its term until it works steadily.
		await sleep(700);
	}

	async table(): Promise<SliceTable | undefined> {
		const stored = await this.deployment.objects.get('table', service);
		return stored.isRight()
			? (stored.extract() as {value: SliceTable}).value
			: undefined;
	}

	/** Marks a slice in the table to be moved to a server, as the planner does; false if concurrent writes keep causing conflicts. */
	async requestMove(slice: number, to: string): Promise<boolean> {
		const {objects} = this.deployment;
		return this.until(async () => {
			const stored = await objects.get('table', service);
			const {version, value} = stored.unsafeCoerce();
			const table = value as SliceTable;
			const rows = table.rows.map((row, index) =>
				index === slice ? {...row, to} : row,
			);
			const next = {...table, rows};
			const written = await objects.update('table', service, version, next);
			return written.isRight();
		});
	}

	async epoch(slice: number): Promise<number> {
		const table = await this.table();
		return table!.rows[slice].epoch;
	}

	async guard(server: string): Promise<Guard> {
		const table = await this.table();
		return table!.guards[server];
	}

	/** The daemon whose run has this id. */
	daemonById(id: string): RunningDaemon {
		return this.daemons.find(({vm}) => id.startsWith(`${vm}.`))!;
	}

	/** The owner of slice 0, a key of that slice, and the server's guardian and successor. */
	async pickServer() {
		const table = (await this.table())!;
		const slice = 0;
		const {owner} = table.rows[slice];
		const guard = table.guards[owner];
		return {
			key: keyOf(slice),
			slice,
			server: this.servers.get(owner)!,
			guard,
			guardian: this.daemonById(guard.guardian),
			successor: this.daemonById(guard.successor),
		};
	}

	/** All daemons except the given ones. */
	daemonsExcept(
		...excluded: readonly RunningDaemon[]
	): readonly RunningDaemon[] {
		return this.daemons.filter((daemon) => !excluded.includes(daemon));
	}

	/** Whether a request for the key through this daemon is answered with 200 within `requestTimeoutMs`. */
	async isServed(key: string, {entry}: RunningDaemon): Promise<boolean> {
		try {
			const res = await request(`http://${entry}/${service}/repair`, {
				headers: {'x-customer': 'tiktak-haus', 'x-key': key},
				signal: AbortSignal.timeout(requestTimeoutMs),
			});
			await res.body.dump();
			return res.statusCode === 200;
		} catch {
			return false;
		}
	}

	/** The time from now until a request for the key through `daemon` succeeds, in ms; Infinity after `limitMs`. */
	async msUntilServed(
		key: string,
		daemon: RunningDaemon,
		limitMs = 10_000,
	): Promise<number> {
		const start = performance.now();
		while (performance.now() - start < limitMs) {
			if (await this.isServed(key, daemon)) {
				return performance.now() - start;
			}

			await sleep(pauseMs);
		}

		return Infinity;
	}

	/** The longest time in ms without a successful request for the key through `daemon`, over the next `ms`. */
	async longestGapMs(
		key: string,
		daemon: RunningDaemon,
		ms: number,
	): Promise<number> {
		const end = performance.now() + ms;
		let last = performance.now();
		let longestMs = 0;
		while (performance.now() < end) {
			if (await this.isServed(key, daemon)) {
				longestMs = Math.max(longestMs, performance.now() - last);
				last = performance.now();
			}

			await sleep(pauseMs);
		}

		return Math.max(longestMs, performance.now() - last);
	}

	/** The grants and the lease that a server reports; undefined if it does not answer. */
	async grants({address}: RunningServer): Promise<ServerState | undefined> {
		try {
			const res = await request(`http://${address}/grants`, {
				signal: AbortSignal.timeout(requestTimeoutMs),
			});
			return (await res.body.json()) as ServerState;
		} catch {
			return undefined;
		}
	}

	/** Whether the server reports a running lease and a grant of the slice. */
	async owns(name: string, slice: number): Promise<boolean> {
		const state = await this.grants(this.servers.get(name)!);
		return (
			state !== undefined &&
			state.now < state.leaseEnd &&
			state.held.some((grant) => grant.slice === slice)
		);
	}

	/** Adds a service without keys, with one server in each of the first `count` domains. */
	async addUnkeyedServers(count: number): Promise<void> {
		const name = unkeyedService;
		await putService(this.deployment, this.checksFence, {name, slices: 0});
		for (const failureDomain of domains.slice(0, count)) {
			const plan = {name: `${name}-${failureDomain}`, service: name};
			this.unkeyed.push(
				await this.deployment.server({...plan, failureDomain, keyed: false}),
			);
		}
	}

	/** Starts a killed server again, as a new run. */
	async restartServer(server: RunningServer): Promise<void> {
		const {checksFence} = this;
		const next = await this.deployment.restart(server, {checksFence});
		this.servers.set(server.name, next);
	}

	/** Stops a daemon with SIGTERM, as an operator does, and starts a new run with the same settings on the same ports; returns the exit code of the old run. */
	async restartDaemon(index: number): Promise<number | undefined> {
		const {vm, failureDomain, child, ...listeners} = this.daemons[index];
		const code = await child.end('SIGTERM');
		const ports = Object.fromEntries(
			Object.entries(listeners).map(([name, at]) => [name, listenerAt(at)]),
		);
		this.daemons[index] = await this.deployment.daemon(vm, failureDomain, {
			...this.#settings(index),
			...ports,
		});
		return code;
	}

	/** Sets the faults that the store injects. */
	async setStoreFaults(
		faults: Readonly<Record<string, unknown>>,
	): Promise<void> {
		const res = await request(`${this.deployment.origin}/faults`, {
			method: 'PUT',
			body: JSON.stringify(faults),
		});
		await res.body.dump();
	}

	async status({operator}: RunningDaemon) {
		const res = await request(`http://${operator}/status`);
		return (await res.body.json()) as {
			readonly guards: ReadonlyArray<{
				readonly server: string;
				readonly term: number;
				readonly blocked?: {readonly reason: string; readonly endsWhen: string};
			}>;
		};
	}

	/** Resolves to true once `condition` does, and to false after `limitMs`. */
	async until(
		condition: () => Promise<boolean>,
		limitMs = 10_000,
	): Promise<boolean> {
		const deadline = performance.now() + limitMs;
		while (performance.now() < deadline) {
			if (await condition()) {
				return true;
			}

			await sleep(pauseMs);
		}

		return false;
	}

	async #startProcesses(): Promise<void> {
		const {deployment, checksFence} = this;
		const {hasServerLinks = false, hasMeshLinks = false} = this.options;
		await putService(deployment, checksFence, {name: service, slices});
		await putContract(deployment);
		for (const failureDomain of domains.slice(0, 3)) {
			const name = `desk-${failureDomain}`;
			const plan = {name, service, failureDomain, keyed: true, checksFence};
			const via = async (address: string) => this.#startLink(name, address);
			const server = await deployment.server(
				hasServerLinks ? {...plan, via} : plan,
			);
			this.servers.set(name, server);
		}

		const starter = hasMeshLinks ? this.mesh : deployment;
		const store = await this.storeLink.listen();
		const daemons = await Promise.all(
			domains.map(async (domain, index) =>
				starter.daemon(`vm-${index}`, domain, {
					...this.#settings(index),
					...(this.options.hasStoreLink === true &&
						index >= 2 && {platform: {origin: `http://${store}`}}),
				}),
			),
		);
		this.daemons.push(...daemons);
		await this.waitUntilSettled();
	}

	#settings(index: number) {
		const {ownership = {}, placement = {}} = this.options;
		const localAddress = `127.0.0.${11 + index}`;
		return {ownership: {...ownership, localAddress}, placement};
	}

	async #startLink(name: string, address: string): Promise<string> {
		const link = new Link(address);
		this.links.set(name, link);
		return link.listen();
	}

	async #pauseUnlessPast(deadline: number): Promise<void> {
		if (performance.now() > deadline) {
			throw new Error(
				`not every server is guarded and every key served after ${startTimeoutMs} ms`,
			);
		}

		await sleep(100);
	}
}

export async function sleep(ms: number): Promise<void> {
	return new Promise((resolve) => {
		setTimeout(resolve, ms);
	});
}

function listenerAt(address: string) {
	const [host, port] = address.split(':');
	return {host, port: Number(port)};
}

/** A key of the slice; a different key for each `name`. */
export function keyOf(slice: number, name = 'heirloom'): string {
	for (let index = 0; ; index++) {
		if (sliceOf(`${name}-${index}`, slices) === slice) {
			return `${name}-${index}`;
		}
	}
}

async function putService(
	deployment: Deployment,
	checksFence: boolean,
	spec: {readonly name: string; readonly slices: number},
): Promise<void> {
	await deployment.createObject('service', spec.name, {
		service: spec.name,
		slices: spec.slices,
		slots: 3,
		connections: 130,
		checksFence,
		deadlineMs: 5000,
		slowStartMs: 0,
	});
}

async function putContract(deployment: Deployment): Promise<void> {
	await deployment.createObject('contract', 'tiktak-haus', {
		customer: 'tiktak-haus',
		services: [service, unkeyedService],
		ratePerSecond: 1000,
		burst: 1000,
		concurrency: 100,
		weight: 1,
	});
}
