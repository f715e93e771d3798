/**
 * A small deployment of separate processes on loopback: the stand-in platform,
 * backend servers and daemons, all on ports that the operating system picks.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {type Socket} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {SystemClock, HttpPlatform, type ListedVm} from '@kingcuproute/platform';
import {type Kind, type KindValue} from '@kingcuproute/core';
import {request} from 'undici';
import {ownerOf} from '../link/owner.js';
import {Child} from './child.js';

const script = (path: string) => fileURLToPath(new URL(path, import.meta.url));
const platformScript = script('../fake-platform-process.js');
const serverScript = script('../fake-backend-server-process.js');
const daemonScript = script('../../../../daemon/dist/src/kingcuprouted.js');
const cliScript = script('../../../../cli/dist/src/kingcuproute.js');

/** A running daemon and where it listens. */
export type RunningDaemon = {
	readonly vm: string;
	readonly failureDomain: string;
	readonly child: Child;
	readonly entry: string;
	readonly mesh: string;
	readonly operator: string;
};

/** A running backend server and where it listens. */
export type RunningServer = {
	readonly name: string;
	readonly failureDomain: string;
	readonly child: Child;
	readonly address: string;
};

/** A backend server to start. */
export type ServerOptions = {
	readonly name: string;
	readonly service: string;
	readonly failureDomain: string;
	readonly keyed: boolean;
	readonly checksFence?: boolean;
	readonly slots?: number;
	/** Puts a link between the daemons and the server: returns the address that the platform lists. */
	readonly via?: (address: string) => Promise<string>;
};

/** Exit code and output of a process that has ended. */
export type ProcessResult = {
	readonly code: number;
	/** Standard output. */
	readonly lines: readonly string[];
	/** Standard error. */
	readonly errorLines: readonly string[];
};

export class Deployment {
	/** Starts a deployment with only the stand-in platform. */
	static async start(): Promise<Deployment> {
		const platform = new Child('platform', platformScript, []);
		const {port} = JSON.parse(await platform.line('listening')) as {
			port: number;
		};
		return new Deployment(platform, `http://127.0.0.1:${port}`);
	}

	readonly objects: HttpPlatform;
	readonly #children: Child[];
	readonly #folder = mkdtempSync(join(tmpdir(), 'kingcuproute-'));

	private constructor(
		readonly platform: Child,
		readonly origin: string,
	) {
		this.#children = [platform];
		this.objects = new HttpPlatform({origin}, new SystemClock());
	}

	/** Creates an object at the platform. */
	async createObject<K extends Kind>(
		kind: K,
		name: string,
		value: KindValue<K>,
	): Promise<void> {
		const written = await this.objects.create(kind, name, value);
		written.ifLeft(({message}) => {
			throw new Error(message);
		});
	}

	/** Starts a backend server and creates its object at the platform. */
	async server({
		slots = 3,
		checksFence = true,
		via = async (address) => address,
		...plan
	}: ServerOptions): Promise<RunningServer> {
		const {name, service, failureDomain, keyed} = plan;
		const child = this.#child(name, serverScript, [
			JSON.stringify({name, keyed, slots, checksFence}),
		]);
		const {port} = JSON.parse(await child.line('listening')) as {port: number};
		const address = `127.0.0.1:${port}`;
		await this.createObject('backend-server', name, {
			backendServer: name,
			service,
			failureDomain,
			address: await via(address),
			out: false,
		});
		return {name, failureDomain, child, address};
	}

	/** Starts a killed server again on its port. */
	async restart(
		killed: RunningServer,
		{slots = 3, checksFence = true}: Partial<ServerOptions> = {},
	): Promise<RunningServer> {
		const {name, address} = killed;
		const port = address.split(':')[1];
		const options = {name, keyed: true, slots, checksFence};
		const child = this.#child(name, serverScript, [
			JSON.stringify(options),
			port,
		]);
		await child.line('listening');
		return {...killed, child};
	}

	/** Starts a daemon and adds its VM to the platform's list. */
	async daemon(
		vm: string,
		failureDomain: string,
		more: Readonly<Record<string, unknown>> = {},
	): Promise<RunningDaemon> {
		const child = this.#daemonChild(vm, failureDomain, more);
		const line = await child.line('event=listening');
		const addressOf = (name: string) =>
			`127.0.0.1:${new RegExp(` ${name}=(\\d+)`).exec(line)![1]}`;
		const running = {
			vm,
			failureDomain,
			child,
			entry: addressOf('entry'),
			mesh: addressOf('mesh'),
			operator: addressOf('operator'),
		};
		const address = advertisedAddress(more) ?? running.mesh;
		await this.listVm({vm, failureDomain, address, state: 'live'});
		return running;
	}

	/** Adds a VM to the platform's list, or changes its entry. */
	async listVm(listed: ListedVm): Promise<void> {
		const res = await request(`${this.origin}/v1/vms/${listed.vm}`, {
			method: 'PUT',
			body: JSON.stringify(listed),
		});
		await res.body.dump();
	}

	/** The name of this deployment's process that opened a connection; empty if none of them did. */
	clientProcessName(near: Socket): string {
		return ownerOf(near, this.#children)?.name ?? '';
	}

	/** Runs a daemon that is expected to be refused, until it ends. */
	async refusedDaemon(
		vm: string,
		failureDomain: string,
		more: Readonly<Record<string, unknown>>,
	): Promise<ProcessResult> {
		return resultOf(this.#daemonChild(vm, failureDomain, more));
	}

	/** Runs the operators' command line until it ends; returns its exit code and output. */
	async runCli(...args: readonly string[]): Promise<ProcessResult> {
		const child = this.#child('kingcuproute', cliScript, [
			'--platform',
			this.origin,
			...args,
		]);
		return resultOf(child);
	}

	/** Writes a JSON file for the command line to read; returns its path. */
	writeJsonFile(name: string, value: unknown): string {
		const path = join(this.#folder, name);
		writeFileSync(path, JSON.stringify(value));
		return path;
	}

	/** Ends every process that was started here. */
	async stop(): Promise<void> {
		await Promise.all(
			this.#children.map(async (child) => child.end('SIGKILL')),
		);
		await this.objects.close();
		rmSync(this.#folder, {recursive: true, force: true});
	}

	#daemonChild(
		vm: string,
		failureDomain: string,
		more: Readonly<Record<string, unknown>>,
	): Child {
		const listener = {host: '127.0.0.1', port: 0};
		const settingsPath = join(this.#folder, `${vm}.json`);
		const platform = {origin: this.origin};
		const settings = {
			vm,
			failureDomain,
			platform,
			entry: listener,
			mesh: listener,
			operator: listener,
			...more,
		};
		writeFileSync(settingsPath, JSON.stringify(settings, undefined, '\t'));
		return this.#child(vm, daemonScript, ['run', settingsPath]);
	}

	#child(name: string, scriptPath: string, args: readonly string[]): Child {
		const child = new Child(name, scriptPath, args);
		this.#children.push(child);
		return child;
	}
}

/** The mesh address that the settings advertise to other daemons, if any. */
function advertisedAddress(
	settings: Readonly<Record<string, unknown>>,
): string | undefined {
	return (settings.mesh as {readonly advertise?: string} | undefined)
		?.advertise;
}

async function resultOf(child: Child): Promise<ProcessResult> {
	const code = await child.exited();
	return {code, lines: child.lines, errorLines: child.errorLines};
}
