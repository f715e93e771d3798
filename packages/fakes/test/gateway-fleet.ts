/** Several daemons, configured as on the platform, that share a stand-in store and one backend server. */
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {settingsVariable} from '@kingcuproute/platform';
import {type ExecutionContext} from 'ava'; // eslint-disable-line ava/use-test
import {request} from 'undici';
import {Child} from '../src/deployment/child.js';
import {Link} from '../src/link/link.js';
import {StandInStore} from '../src/platform/stand-in-store.js';
import {main, plainConfig, sendAnswer, settingsOf} from './gateway-site.js';
import {until} from './requests-fixture.js';

/** One daemon of the fleet. */
export class FleetDaemon {
	/** Between the daemon and the store. */
	readonly storeLink = new Link();
	entry = '';
	readiness = '';
	#child: Child | undefined;

	constructor(
		readonly vm: string,
		readonly failureDomain: string,
		private readonly capacity: number,
		private readonly folder: string,
	) {}

	async start(store: string): Promise<void> {
		this.storeLink.setTarget(store);
		const address = await this.storeLink.listen();
		const port = await freePort();
		const file = path.join(this.folder, `${this.vm}.conf`);
		const settings = settingsOf(this.vm, this.failureDomain, address, [
			'self.limits.memoryMb=350',
			'self.ip=127.0.0.1',
			`self.limits.cpuShare=${this.capacity}`,
			'self.limits.cores=1',
			`network.portRange=${port},${port + 15}`,
		]);
		writeFileSync(file, settings);
		this.#child = new Child(this.vm, main, [], {[settingsVariable]: file});
		const line = await this.#child.line('event=listening ');
		[, this.entry, this.readiness] =
			/entry=(\S+) readiness=(\S+)/.exec(line) ?? [];
		await until(async () => {
			const res = await request(`http://${this.readiness}/`);
			await res.body.dump();
			return res.statusCode === 200;
		});
	}

	async line(text: string): Promise<string> {
		return this.#child!.line(text);
	}

	get log(): readonly string[] {
		return this.#child!.lines;
	}

	signal(name: 'SIGSTOP' | 'SIGCONT'): void {
		this.#child!.signal(name);
	}

	/** Stops the daemon as planned; resolves when its process has ended. */
	async terminate(): Promise<void> {
		await this.#child?.end('SIGTERM');
	}

	async kill(): Promise<void> {
		await this.#child?.end('SIGKILL');
	}

	async stop(): Promise<void> {
		await this.kill();
		await this.storeLink.close();
	}

	/** Sends a request, with `fields` in addition; resolves with the status of the answer. */
	async statusOf(
		target: string,
		fields: Readonly<Record<string, string>> = {},
	): Promise<number> {
		const res = await request(`http://${this.entry}${target}`, {
			method: 'POST',
			body: 'b',
			headers: {
				host: 'shop.example',
				'x-kingcuproute-request-id': `q${target}`,
				'x-kingcuproute-deadline-ms': '20000',
				...fields,
			},
		});
		await res.body.dump();
		return res.statusCode;
	}

	/** The sum of the daemon's metrics whose name and labels match. */
	async metric(pattern: RegExp): Promise<number> {
		const res = await request(`http://${this.readiness}/metrics`);
		const text = await res.body.text();
		let sum = 0;
		for (const line of text.split('\n')) {
			const [, value] = /^\S+ (\S+)$/.exec(line) ?? [];
			sum += value !== undefined && pattern.test(line) ? Number(value) : 0;
		}

		return sum;
	}
}

export class Fleet {
	readonly store = new StandInStore();
	readonly daemons: FleetDaemon[] = [];
	/** The configuration that the store holds at the start. */
	config: unknown = plainConfig;
	/** The service of the backend server. */
	service = 'plain';
	readonly #folder = mkdtempSync(path.join(tmpdir(), 'fleet-'));
	#server: Server | undefined;
	#storeAddress = '';
	#version = 1;

	/** Starts daemons in these failure domains; the first of a domain has the highest capacity. */
	async start(domains: readonly string[]): Promise<void> {
		this.#storeAddress = await this.store.start();
		this.#server = createServer((req, res) => {
			if (req.url!.startsWith('/kingcuproute/')) {
				res.writeHead(200, {'x-kingcuproute-handover': 'h'});
				res.end();
			} else {
				sendAnswer(req, res, '');
			}
		});
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		const {port} = this.#server.address() as AddressInfo;
		this.store.put(
			'servers',
			'i-1',
			{
				addr: `127.0.0.1:${port}`,
				born: 1,
				info: {service: this.service, version: 'v1', zone: 'a', slots: 100},
			},
			{state: 'ready', seq: 1, coldLeftMs: 0},
		);
		this.store.put('config', 'main', this.config);
		await Promise.all(domains.map(async (domain) => this.addDaemon(domain)));
	}

	/** Starts one more daemon; its capacity is below that of those before it. */
	async addDaemon(domain: string): Promise<FleetDaemon> {
		const index = this.daemons.length;
		const vm = `front-${domain}-${index}`;
		const daemon = new FleetDaemon(vm, domain, 1 / (index + 1), this.#folder);
		this.daemons.push(daemon);
		await daemon.start(this.#storeAddress);
		return daemon;
	}

	/** Adds a route; returns a path of it. */
	addRoute(): string {
		this.#version++;
		const name = `n${this.#version}`;
		const target = `/${name}/`;
		const {rows} = plainConfig.routes;
		const row = rows[1].with(0, name).with(2, target);
		this.store.put('config', 'main', {
			...plainConfig,
			version: `r${this.#version}`,
			routes: {...plainConfig.routes, rows: [...rows, row]},
		});
		return target;
	}

	async stop(): Promise<void> {
		await Promise.all(this.daemons.map(async (daemon) => daemon.stop()));
		this.store.stop();
		this.#server?.closeAllConnections();
		this.#server?.close();
		rmSync(this.#folder, {recursive: true});
	}
}

/** A fleet that is stopped when the test ends. */
export function createFleet(t: ExecutionContext): Fleet {
	const fleet = new Fleet();
	t.teardown(async () => fleet.stop());
	return fleet;
}

async function freePort(): Promise<number> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
}
