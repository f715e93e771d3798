/** Deployments and callers for tests of the request path. */
import {randomUUID} from 'node:crypto';
import {connect} from 'node:net';
import {type ExecutionContext} from 'ava'; // eslint-disable-line ava/use-test
import {request, type Dispatcher} from 'undici';
import {
	Deployment,
	type Run,
	type RunningDaemon,
	type RunningServer,
	type ServerFaults,
} from '../src/index.js';

/** A running deployment of one service; `entry` is the address of the first daemon. */
export type Cluster = {
	readonly deployment: Deployment;
	readonly servers: readonly RunningServer[];
	readonly daemons: readonly RunningDaemon[];
	readonly entry: string;
};

export type ClusterOptions = {
	readonly servers?: number;
	readonly daemons?: number;
	readonly slices?: number;
	readonly deadlineMs?: number;
	/** Connections that one server accepts from all daemons together. */
	readonly connections?: number;
	readonly settings?: Readonly<Record<string, unknown>>;
};

export type Answer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, unknown>>;
	readonly body: {
		readonly ran?: string;
		readonly reason?: string;
		readonly backendServer?: string;
		readonly bytes?: number;
	};
};

const service = 'kaha';
const customer = 'tiktak-haus';

/**
 * Starts servers and daemons of one service, at most one of each per failure domain.
 * The service is divided by key only if `slices` is positive.
 */
export async function startCluster(
	t: ExecutionContext,
	{
		servers = 1,
		daemons = 1,
		slices = 0,
		deadlineMs = 3000,
		connections = 130,
		settings = {},
	}: ClusterOptions = {},
): Promise<Cluster> {
	const deployment = await Deployment.start();
	t.teardown(async () => deployment.stop());
	await deployment.createObject('service', service, {
		service,
		slices,
		slots: 50,
		connections,
		checksFence: true,
		deadlineMs,
		slowStartMs: 0,
	});
	await deployment.createObject('contract', customer, {
		customer,
		services: [service],
		ratePerSecond: 100_000,
		burst: 100_000,
		concurrency: 10_000,
		weight: 1,
	});
	const running: RunningServer[] = [];
	for (let index = 0; index < servers; index++) {
		running.push(
			await deployment.server({
				name: `kaha-${index}`,
				service,
				failureDomain: `fd-${index}`,
				keyed: slices > 0,
				slots: 50,
			}),
		);
	}

	const started: RunningDaemon[] = [];
	for (let index = 0; index < daemons; index++) {
		started.push(
			await deployment.daemon(`vm-${index}`, `fd-${index}`, settings),
		);
	}

	const cluster = {
		deployment,
		servers: running,
		daemons: started,
		entry: started[0].entry,
	};
	await Promise.all(started.map(async ({entry}) => untilServed(entry)));
	return cluster;
}

/** Sends one request with the headers of a customer and a shard key. */
export async function send(
	entry: string,
	method: Dispatcher.HttpMethod,
	path: string,
	{
		headers = {},
		...more
	}: Partial<Dispatcher.RequestOptions> & {
		readonly headers?: Readonly<Record<string, string>>;
	} = {},
): Promise<Answer> {
	const res = await request(`http://${entry}${path}`, {
		method,
		headers: {'x-customer': customer, 'x-key': 'heirloom-7', ...headers},
		...more,
	});
	return {
		status: res.statusCode,
		headers: res.headers,
		body: (await res.body.json()) as Answer['body'],
	};
}

/** Switches faults of a stand-in server on or off. */
export async function setServerFaults(
	{address}: RunningServer,
	faults: Partial<ServerFaults>,
): Promise<void> {
	const res = await request(`http://${address}/faults`, {
		method: 'PUT',
		body: JSON.stringify(faults),
		reset: true,
	});
	await res.body.dump();
	if (res.statusCode !== 200) {
		throw new Error(`faults refused with status ${res.statusCode}`);
	}
}

/** The requests that a server ran; or those that were cancelled or declined there. */
export async function fetchRuns(
	{address}: RunningServer,
	list: 'journal' | 'cancelled' | 'declined' = 'journal',
): Promise<readonly Run[]> {
	const res = await request(`http://${address}/${list}`, {reset: true});
	return (await res.body.json()) as readonly Run[];
}

/** How many times the servers ran requests for `path`, in total. */
export async function countRuns(
	servers: readonly RunningServer[],
	path: string,
): Promise<number> {
	const journals = await Promise.all(
		servers.map(async (server) => fetchRuns(server)),
	);
	return journals.flat().filter((run) => run.path === path).length;
}

/** Sends text unchanged; resolves with all that comes back until the connection ends or is silent for 1.5 s. */
export async function sendRaw(entry: string, text: string): Promise<string> {
	const [host, port] = entry.split(':');
	const quietMs = 1500;
	return new Promise((resolve, reject) => {
		const socket = connect(Number(port), host);
		let received = '';
		socket.setTimeout(quietMs, () => {
			socket.destroy();
		});
		socket.on('data', (chunk) => {
			received += String(chunk);
		});
		socket.on('error', reject);
		socket.on('close', () => {
			resolve(received);
		});
		socket.write(text);
	});
}

/** Resolves once `condition` resolves with true; throws after twenty seconds. */
export async function until(condition: () => Promise<boolean>): Promise<void> {
	const deadline = performance.now() + 20_000;
	while (!(await condition())) {
		if (performance.now() > deadline) {
			throw new Error('condition not met within 20 s');
		}

		await pause(50);
	}
}

/** A new idempotency key: a UUID of version 7, which carries the current time. */
export function newIdempotencyKey(): string {
	const time = Date.now().toString(16).padStart(12, '0');
	const tail = randomUUID().slice(15);
	return `${time.slice(0, 8)}-${time.slice(8)}-7${tail}`;
}

/** Switches faults of the stand-in platform on or off. */
export async function setPlatformFaults(
	{deployment}: Cluster,
	faults: Readonly<Record<string, unknown>>,
): Promise<void> {
	const res = await request(`${deployment.origin}/faults`, {
		method: 'PUT',
		body: JSON.stringify(faults),
	});
	await res.body.dump();
	if (res.statusCode !== 200) {
		throw new Error(`faults refused with status ${res.statusCode}`);
	}
}

export async function pause(ms: number): Promise<void> {
	return new Promise((resolve) => {
		setTimeout(resolve, ms);
	});
}

/** Whether a daemon knows `count` members, itself included. */
export async function knowsMembers(
	{operator}: RunningDaemon,
	count: number,
): Promise<boolean> {
	const res = await request(`http://${operator}/metrics`);
	const text = await res.body.text();
	return text.includes(`kingcuproute_members ${count}\n`);
}

async function untilServed(entry: string): Promise<void> {
	await until(async () => {
		const {status} = await send(entry, 'GET', `/${service}/ready`);
		return status === 200;
	});
}
