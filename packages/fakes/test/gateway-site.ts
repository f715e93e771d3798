/** One daemon, configured as on the platform, with a stand-in store, stand-in servers and a caller. */
import {once} from 'node:events';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {createRequire} from 'node:module';
import {type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {settingsVariable} from '@kingcuproute/platform';
import {type ExecutionContext} from 'ava'; // eslint-disable-line ava/use-test
import {request} from 'undici';
import {Child} from '../src/deployment/child.js';
import {Link} from '../src/link/link.js';
import {StandInStore} from '../src/platform/stand-in-store.js';
import {until} from './requests-fixture.js';

const {resolve} = createRequire(import.meta.url);
const main = path.join(
	path.dirname(resolve('@kingcuproute/daemon')),
	'gateway/main.js',
);

const routes = {
	columns: [
		'name',
		'host',
		'pathPrefix',
		'routeKind',
		'timeoutMs',
		'targetLatencyMs',
		'priority',
		'maxAttempts',
		'service',
	],
	rows: [
		['r1', 'shop.example', '/read/', 'safe', 30_000, 600, 2, 2, 'plain'],
		['r2', 'shop.example', '/book/', 'unsafe', 30_000, 600, 1, 2, 'plain'],
		['r3', 'shop.example', '/clock/', 'safe', 30_000, 600, 1, 2, 'keyed'],
		['r4', 'shop.example', '/hold/', 'unsafe', 30_000, 600, 1, 2, 'keyed'],
	],
};
const healthPath = '/health';
const services = {
	columns: ['name', 'healthPath', 'maxConns', 'coldPerS', 'warmupS', 'sharded'],
	rows: [
		['plain', healthPath, 130, 2.8, 3, null],
		['keyed', healthPath, 130, 2.8, 3, true],
	],
};
const limits = {
	maxHeaderBytes: 16_384,
	maxBodyBytes: 1_000_000,
	headerTimeoutMs: 3000,
	idleTimeoutMs: 15_000,
};
/** The usual configuration at the start. */
export const siteConfig = {version: 'r1', routes, services, limits};

/** Without keys, the daemon keeps none, and makes no calls to the store but polls. */
export const plainConfig = {
	...siteConfig,
	services: {
		...siteConfig.services,
		rows: siteConfig.services.rows.slice(0, 1),
	},
	routes: {...siteConfig.routes, rows: siteConfig.routes.rows.slice(0, 2)},
};

/** How a backend server handles a request. */
export type RequestHandler = (
	req: IncomingMessage,
	res: ServerResponse,
	body: string,
) => void;

/** How the backend server `name` handles a health check. */
export type HealthHandler = (res: ServerResponse, name: string) => void;

/** A store, backend servers, and one daemon that routes requests to them. */
export class Site {
	readonly store = new StandInStore();
	/** Between the daemon and the store. */
	readonly storeLink = new Link();
	entry = '';
	readiness = '';
	settingsFile = '';
	/** The configuration that the store holds at the start. */
	config: unknown = siteConfig;
	/** Memory of the daemon's VM. */
	memoryMb = 350;
	/** Lines that are added to the settings file. */
	addedSettings: readonly string[] = [];
	#daemon: Child | undefined;
	readonly #servers: Server[] = [];
	readonly #byName = new Map<string, Server>();
	readonly #folder = mkdtempSync(path.join(tmpdir(), 'gateway-'));

	/** Starts and registers a server; `handle` gets every request except key orders, whose paths start with /kingcuproute/, and health checks. */
	async addServer(
		name: string,
		service: string,
		handle: RequestHandler,
		check: HealthHandler = sendWarm,
	): Promise<void> {
		const server = createServer((req, res) => {
			void (async () => {
				const chunks = await req.toArray();
				if (req.url!.startsWith('/kingcuproute/')) {
					const isExpectedInstance =
						req.headers['x-kingcuproute-expect-instance'] === name;
					res.writeHead(isExpectedInstance ? 200 : 421, {
						'x-kingcuproute-handover': 'h',
					});
					res.end();
				} else if (req.url === healthPath) {
					check(res, name);
				} else {
					handle(req, res, chunks.join(''));
				}
			})();
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		this.#servers.push(server);
		this.#byName.set(name, server);
		const {port} = server.address() as AddressInfo;
		this.registerServer(name, service, port);
	}

	/** Ends a server at once; its entry stays. */
	crashServer(name: string): void {
		const server = this.#byName.get(name)!;
		server.closeAllConnections();
		server.close();
	}

	/** The port of the server that was added last. */
	servedPort(): number {
		return (this.#servers.at(-1)!.address() as AddressInfo).port;
	}

	/** Adds an entry for a server at this port to the store. */
	registerServer(name: string, service: string, port: number, slots = 3): void {
		this.store.put(
			'servers',
			name,
			{
				addr: `127.0.0.1:${port}`,
				born: 1,
				info: {service, version: 'v1', zone: 'a', slots},
			},
			{state: 'ready', seq: 1, coldLeftMs: 0},
		);
	}

	/** Peak resident memory of the daemon so far, in bytes. */
	peakMemory(): number {
		const status = readFileSync(`/proc/${this.#daemon!.pid}/status`, 'utf8');
		return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)![1]) * 1024;
	}

	/** Starts the daemon, with these environment variables in addition. */
	async start(variables: Readonly<Record<string, string>> = {}): Promise<void> {
		this.storeLink.setTarget(await this.store.start());
		const address = await this.storeLink.listen();
		this.store.put('config', 'main', this.config);
		const file = path.join(this.#folder, 'settings.conf');
		const settings = [
			'self.node=front-a-1',
			'self.zone=a',
			'self.region=r',
			`self.limits.memoryMb=${this.memoryMb}`,
			'network.listen.front=127.0.0.1:0',
			'network.listen.ready=127.0.0.1:0',
			'platform.heartbeatMs=870',
			`platform.platform.addr=${address}`,
			'platform.platform.writesPerS=400',
			'platform.platform.readsPerS=2000',
			'terms.bounds.graceS=6',
			'terms.bounds.drainMs=2000',
			'terms.bounds.holdMaxMs=10000',
			'terms.bounds.retryBudgetRatio=0.2',
			'terms.bounds.retryBudgetSlack=62',
			'terms.bounds.budgetWindowS=10',
			...this.addedSettings,
		];
		writeFileSync(file, settings.join('\n'));
		this.settingsFile = file;
		await this.#startDaemon(variables);
	}

	/** Ends the daemon with SIGTERM and starts it again with the same settings. */
	async restart(): Promise<void> {
		await this.terminate();
		await this.#startDaemon({});
	}

	async readinessStatus(): Promise<number> {
		const res = await request(`http://${this.readiness}/kingcuproute/ready`);
		await res.body.dump();
		return res.statusCode;
	}

	async send(
		target: string,
		fields: Record<string, string> = {},
		body?: string,
	) {
		const res = await request(`http://${this.entry}${target}`, {
			method: body === undefined ? 'GET' : 'POST',
			body,
			headers: {
				host: 'shop.example',
				'x-kingcuproute-request-id': `q${target}`,
				'x-kingcuproute-deadline-ms': '20000',
				...fields,
			},
		});
		return {
			status: res.statusCode,
			headers: res.headers,
			text: await res.body.text(),
		};
	}

	/** Sends a request; resolves with the status of the answer. */
	async statusOf(...args: Parameters<Site['send']>): Promise<number> {
		const {status} = await this.send(...args);
		return status;
	}

	/** The lines that the daemon has logged so far. */
	log(): readonly string[] {
		return this.#daemon!.lines;
	}

	/** Resolves with the first line that contains `text`, already logged or still to come. */
	async line(text: string): Promise<string> {
		return this.#daemon!.line(text);
	}

	/** Sends SIGHUP, on which the daemon reads its settings again; resolves with its log line for `event`. */
	async reloadSettings(event: string): Promise<string> {
		process.kill(this.#daemon!.pid, 'SIGHUP');
		return this.#daemon!.line(`event=${event}`);
	}

	/** Sends the daemon process a signal that does not end it. */
	signal(name: 'SIGSTOP' | 'SIGCONT' | 'SIGUSR2'): void {
		this.#daemon!.signal(name);
	}

	/** Sends SIGTERM; resolves with the exit code of the daemon. */
	async terminate(): Promise<number | undefined> {
		return this.#daemon!.end('SIGTERM');
	}

	async stop(): Promise<void> {
		await this.#daemon?.end('SIGKILL');
		await this.storeLink.close();
		this.store.stop();
		for (const server of this.#servers) {
			server.closeAllConnections();
			server.close();
		}

		rmSync(this.#folder, {recursive: true});
	}

	async #startDaemon(
		variables: Readonly<Record<string, string>>,
	): Promise<void> {
		this.#daemon = new Child('gateway', main, [], {
			...variables,
			[settingsVariable]: this.settingsFile,
		});
		const line = await this.#daemon.line('event=listening');
		[, this.entry, this.readiness] =
			/entry=(\S+) readiness=(\S+)/.exec(line) ?? [];
		await until(async () => (await this.readinessStatus()) === 200);
	}
}

/** A site that is stopped when the test ends. */
export function createSite(t: ExecutionContext): Site {
	const site = new Site();
	t.teardown(async () => site.stop());
	return site;
}

/** Answers a health check of the server `name`: it will be cold for `coldMs`. */
export function sendHealth(
	res: ServerResponse,
	name: string,
	coldMs: number,
): void {
	res.writeHead(200, {
		'x-kingcuproute-instance-id': name,
		'x-kingcuproute-cold-ms': String(coldMs),
	});
	res.end();
}

function sendWarm(res: ServerResponse, name: string): void {
	sendHealth(res, name, 0);
}

/** Answers with status 200 and the fields that a correct server sends. */
export function sendAnswer(
	req: IncomingMessage,
	res: ServerResponse,
	body: string,
	fields: Record<string, string> = {},
): void {
	res.writeHead(200, {
		'x-kingcuproute-request-id': String(
			req.headers['x-kingcuproute-request-id'],
		),
		'x-kingcuproute-server-stamp': 'signed',
		'x-kingcuproute-server-load': '1,0,3',
		...fields,
	});
	res.end(body);
}
