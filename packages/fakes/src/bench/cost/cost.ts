/**
 * What one daemon of the platform spends: processor time and memory for its start, for
 * each second without requests and for each request. It is bundled and run with the
 * command lines of deploy/system.toml, at a low rate of requests, each on a connection of
 * its own, as on the entry VMs of a large deployment.
 */
import {execFileSync} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtempSync,
	readdirSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import {createServer, request, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {settingsVariable} from '@kingcuproute/platform';
import yargs from 'yargs';
import {Child} from '../../deployment/child.js';
import {StandInStore} from '../../platform/stand-in-store.js';
import {writeResult} from '../result.js';

const domains = ['a', 'b', 'c'];
const healthPath = '/health';
const bodyLen = 4096;
const answer = JSON.stringify({text: 'x'.repeat(500)});
const workMs = 50;
const settleMs = 2000;
const idleS = 5;
const microsPerMs = 1000;
const clockTickMs = 10;
const kilobytesPerMegabyte = 1024;

const config = {
	version: 'r1',
	routes: {
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
			['read', 'shop.example', '/read/', 'safe', 30_000, 600, 2, 2, 'plain'],
			['book', 'shop.example', '/book/', 'unsafe', 30_000, 600, 1, 2, 'plain'],
		],
	},
	services: {
		columns: ['name', 'healthPath', 'maxConns', 'coldPerS', 'warmupS'],
		rows: [['plain', healthPath, 520, 2.8, 3]],
	},
	limits: {
		maxHeaderBytes: 16_384,
		maxBodyBytes: 1_000_000,
		headerTimeoutMs: 3000,
		idleTimeoutMs: 15_000,
	},
};

type Plan = {
	readonly servers: number;
	readonly perSecond: number;
	readonly seconds: number;
	/** Options of Node.js instead of those in deploy/system.toml. */
	readonly flags: string | undefined;
	/** Whether every tenth server's entry changes each second. */
	readonly changes: boolean;
};

/** Runs the bench, with `--servers N`, `--perSecond N`, `--seconds N`, `--flags OPTIONS`, `--changes`. */
export async function run(options: readonly string[]): Promise<void> {
	const plan = await yargs(options)
		.options({
			servers: {type: 'number', default: 340},
			perSecond: {type: 'number', default: 20},
			seconds: {type: 'number', default: 15},
			flags: {type: 'string'},
			changes: {type: 'boolean', default: false},
		})
		.strict()
		.parse();
	const folder = mkdtempSync(path.join(tmpdir(), 'bench-cost-'));
	try {
		const result = await measure(plan, folder);
		writeResult('cost', result);
		process.stdout.write(`${JSON.stringify(result)}\n`);
	} finally {
		rmSync(folder, {recursive: true});
	}
}

async function measure(plan: Plan, folder: string) {
	const store = new StandInStore();
	store.pageLen = 500;
	store.put('config', 'main', config);
	const servers = await Promise.all(
		Array.from({length: plan.servers}, async (_, index) =>
			startServer(store, index),
		),
	);
	const daemon = startDaemon(await store.start(), plan, folder);
	const line = await daemon.line('event=listening');
	const [, entry, readiness] = /entry=(\S+) readiness=(\S+)/.exec(line) ?? [];
	while ((await statusOf(`http://${readiness}/ready`)) !== 200) {
		await sleep(10);
	}

	const startMs = cpuMicrosOf(daemon.pid) / microsPerMs;
	const stopChanges = changeEntries(store, plan.changes ? servers : []);
	await sleep(settleMs);
	const idleFrom = cpuMicrosOf(daemon.pid);
	await sleep(idleS * 1000);
	const idleMsPerS = (cpuMicrosOf(daemon.pid) - idleFrom) / microsPerMs / idleS;
	const loadFrom = cpuMicrosOf(daemon.pid);
	const kernelFrom = kernelMsOf(daemon.pid);
	const answered = await load(entry, plan);
	const loadMs = (cpuMicrosOf(daemon.pid) - loadFrom) / microsPerMs;
	const kernelMs = kernelMsOf(daemon.pid) - kernelFrom;
	const memory = memoryOf(daemon.pid);
	stopChanges();
	await daemon.end('SIGKILL');
	store.stop();
	for (const server of servers) {
		server.closeAllConnections();
		server.close();
	}

	return {
		servers: plan.servers,
		flags: plan.flags,
		answered,
		startMs: rounded(startMs),
		idleMsPerS: rounded(idleMsPerS),
		msPerRequest: rounded((loadMs - idleMsPerS * plan.seconds) / answered),
		/** Of it, in the kernel, including the time without requests. */
		kernelMsPerRequest: rounded(kernelMs / answered),
		...memory,
	};
}

/** Bundles the daemon and starts it, as the platform does. */
function startDaemon(address: string, {flags}: Plan, folder: string): Child {
	const deploy = readFileSync('deploy/system.toml', 'utf8');
	const command = (name: string) => {
		const text = new RegExp(`^${name} = (".*")$`, 'm').exec(deploy)![1];
		return JSON.parse(text) as string;
	};

	const build = command('build');
	execFileSync('sh', ['-c', build.slice(build.indexOf('npx esbuild'))]);
	const [, ...args] = command('run').split(' ');
	const bundle = args.at(-1)!;
	const [file, ...rest] =
		flags === undefined ? args : [...flags.split(' '), bundle];
	const settingsFile = path.join(folder, 'settings.conf');
	writeFileSync(settingsFile, settingsText(address));
	return new Child('daemon', file, rest, {[settingsVariable]: settingsFile});
}

function settingsText(address: string): string {
	return [
		'self.node=front-a-1',
		'self.zone=a',
		'self.region=r',
		'self.limits.memoryMb=350',
		'network.listen.front=127.0.0.1:0',
		'network.listen.ready=127.0.0.1:0',
		'platform.heartbeatMs=870',
		`platform.platform.addr=${address}`,
		'platform.platform.writesPerS=1200',
		'platform.platform.readsPerS=6000',
		'terms.bounds.graceS=6',
		'terms.bounds.holdMaxMs=10000',
		'terms.bounds.retryBudgetRatio=0.2',
		'terms.bounds.retryBudgetSlack=62',
		'terms.bounds.budgetWindowS=10',
		'kingcuproute.crossDomainMsPerKb=2',
	].join('\n');
}

async function startServer(
	store: StandInStore,
	index: number,
): Promise<Server> {
	const name = `s${index}`;
	const server = createServer((req, res) => {
		req.resume();
		if (req.url === healthPath) {
			res.writeHead(200, {
				'x-kingcuproute-instance-id': name,
				'x-kingcuproute-cold-ms': '0',
			});
			res.end();
			return;
		}

		setTimeout(() => {
			res.writeHead(200, {
				'content-type': 'application/json',
				'content-length': answer.length,
				'x-kingcuproute-request-id': String(
					req.headers['x-kingcuproute-request-id'],
				),
				'x-kingcuproute-server-stamp': 'signed',
				'x-kingcuproute-server-load': '1,0,3',
			});
			res.end(answer);
		}, workMs);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	putEntry(store, name, server, 0);
	return server;
}

function putEntry(
	store: StandInStore,
	name: string,
	server: Server,
	seq: number,
): void {
	const {port} = server.address() as AddressInfo;
	const zone = domains[Number(name.slice(1)) % domains.length];
	store.put(
		'servers',
		name,
		{
			addr: `127.0.0.1:${port}`,
			born: 1,
			info: {service: 'plain', version: 'v1', zone, slots: 3},
		},
		{state: 'ready', seq, coldLeftMs: 0},
	);
}

function changeEntries(
	store: StandInStore,
	servers: readonly Server[],
): () => void {
	let seq = 0;
	const timer = setInterval(() => {
		seq++;
		for (const [index, server] of servers.entries()) {
			if (index % 10 === seq % 10) {
				putEntry(store, `s${index}`, server, seq);
			}
		}
	}, 1000);
	return () => {
		clearInterval(timer);
	};
}

/** Sends the requests at fixed times, each on a new connection; returns how many were answered. */
async function load(entry: string, {perSecond, seconds}: Plan) {
	const startedAt = performance.now();
	const statuses: Array<Promise<number>> = [];
	for (let sent = 0; sent < perSecond * seconds; sent++) {
		const dueMs = startedAt + (sent * 1000) / perSecond;
		await sleep(Math.max(0, dueMs - performance.now()));
		const target = sent % 2 === 0 ? 'read' : 'book';
		statuses.push(statusOf(`http://${entry}/${target}/${sent}`, sent));
	}

	const all = await Promise.all(statuses);
	return all.filter((status) => status === 200).length;
}

/** Sends a request on a new connection. */
async function statusOf(url: string, id = 0): Promise<number> {
	const isPost = url.includes('/book/');
	const req = request(url, {
		agent: false,
		method: isPost ? 'POST' : 'GET',
		headers: {
			host: 'shop.example',
			accept: 'application/json',
			'user-agent': 'bench',
			...(isPost && {'content-length': bodyLen}),
			'x-kingcuproute-request-id': `q${id}`,
			'x-kingcuproute-deadline-ms': '20000',
		},
	});
	req.end(isPost ? 'x'.repeat(bodyLen) : undefined);
	const [res] = (await once(req, 'response')) as [
		{statusCode: number; resume(): void},
	];
	res.resume();
	await once(res as unknown as NodeJS.EventEmitter, 'end');
	return res.statusCode;
}

/** Processor time that all threads of a process have spent, in µs; the times in /proc/PID/stat are too coarse. */
function cpuMicrosOf(pid: number): number {
	const folder = `/proc/${pid}/task`;
	const nanos = readdirSync(folder).map((thread) =>
		Number(readFileSync(`${folder}/${thread}/schedstat`, 'utf8').split(' ')[0]),
	);
	return nanos.reduce((sum, value) => sum + value, 0) / 1000;
}

/** Processor time that a process has spent in the kernel, in steps of 10 ms. */
function kernelMsOf(pid: number): number {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return Number(fields[12]) * clockTickMs;
}

function memoryOf(pid: number) {
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	const megabytes = (field: string) =>
		Math.round(
			Number(new RegExp(`^${field}:\\s+(\\d+) kB$`, 'm').exec(status)![1]) /
				kilobytesPerMegabyte,
		);
	return {residentMb: megabytes('VmRSS'), peakMb: megabytes('VmHWM')};
}

function rounded(value: number): number {
	return Math.round(value * 100) / 100;
}
