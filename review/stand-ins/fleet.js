/**
 * Daemons of the project as separate processes, started with the command of the deploy
 * file and with settings like those of a small deployment, and the operator's first
 * desired state.
 */
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {request} from './client.js';

const repository = fileURLToPath(new URL('../..', import.meta.url));
const startMs = 20_000;

/** The bounds of the site `ctrn-gw`. */
export const bounds = {
	contactMs: 3000,
	drainMs: 2000,
	evacMs: 5000,
	graceS: 6,
	coldOver: 1.5,
	coldSlack: 5,
};

export class Fleet {
	#folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	#children = [];
	daemons = [];

	/** Starts `count` daemons, each in a failure domain of its own, and waits until they are ready. */
	async start(count, storeAddress) {
		for (let index = 1; index <= count; index++) {
			this.daemons.push(await this.#spawn(index, storeAddress));
		}

		await Promise.all(
			this.daemons.map(async (daemon) => this.#untilReady(daemon)),
		);
	}

	/** Ends all daemons. */
	async stop() {
		await Promise.all(
			this.#children.map(async ({child, ended}) => {
				child.kill('SIGKILL');
				await ended;
			}),
		);
		rmSync(this.#folder, {recursive: true, force: true});
	}

	async #spawn(index, storeAddress) {
		const [front, ready, control] = await freePorts(3);
		const name = `front-${index}`;
		const zone = 'abcd'[(index - 1) % 4];
		const file = path.join(this.#folder, `${name}.conf`);
		writeFileSync(
			file,
			settings({name, zone, front, ready, control, storeAddress}),
		);
		const [program, ...args] = runCommand();
		const child = spawn(program, args, {
			cwd: repository,
			env: {
				PATH: process.env.PATH,
				HOME: process.env.HOME,
				KINGCUPROUTE_BOOT: file,
			},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		const daemon = {name, zone, front, ready, child, lines: []};
		for (const stream of [child.stdout, child.stderr]) {
			stream.setEncoding('utf8');
			stream.on('data', (text) => daemon.lines.push(text));
		}

		const ended = new Promise((resolve) => {
			child.once('exit', resolve);
		});
		daemon.ended = ended;
		this.#children.push({child, ended});
		return daemon;
	}

	async #untilReady({name, ready}) {
		const until = performance.now() + startMs;
		while (performance.now() < until) {
			const answer = await request({
				port: ready,
				path: '/kingcuproute/ready',
			});
			if (answer.status === 200) {
				return;
			}

			await sleep(100);
		}

		throw new Error(`${name} is not ready after ${startMs} ms`);
	}
}

/** A desired state; `routes` and `services` are lists of objects. */
export function desiredState(version, routes, services) {
	return {
		spec: {
			version: `r${version}`,
			routes: columnar(routes),
			services: columnar(services),
			limits: {
				maxHeaderBytes: 16_384,
				maxBodyBytes: 1_000_000,
				headerTimeoutMs: 3000,
				idleTimeoutMs: 15_000,
			},
		},
	};
}

function columnar(list) {
	const columns = [...new Set(list.flatMap((entry) => Object.keys(entry)))];
	const rows = list.map((entry) =>
		// The wire format has null for an absent field.
		columns.map((column) => entry[column] ?? null),
	);
	return {columns, rows};
}

function runCommand() {
	const text = readFileSync(
		path.join(repository, 'deploy/system.toml'),
		'utf8',
	);
	return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

function settings({name, zone, front, ready, control, storeAddress}) {
	const {contactMs, drainMs, evacMs, graceS, coldOver, coldSlack} = bounds;
	return [
		'grants=call',
		`self.node=${name}`,
		'self.role=kingcuprouted',
		'self.machineClass=front',
		'self.serves=front',
		'self.ip=127.0.0.1',
		`self.zone=${zone}`,
		'self.region=r',
		'self.countsTowardLoss=false',
		'self.bootstrap=true',
		'self.limits.cpuShare=0.54',
		'self.limits.cores=1',
		'self.limits.memoryMb=350',
		'self.limits.maxFds=4100',
		`network.listen.front=127.0.0.1:${front}`,
		`network.listen.ready=127.0.0.1:${ready}`,
		`network.listen.control=127.0.0.1:${control}`,
		'platform.discovery=platform',
		'platform.entry=vip',
		'platform.heartbeatMs=870',
		`platform.platform.addr=${storeAddress}`,
		'platform.platform.form=objects',
		'platform.platform.writesPerS=400',
		'platform.platform.readsPerS=2000',
		'platform.platform.historyS=20',
		'platform.platform.valueBytes=1048576',
		'platform.platform.ttlMinMs=1000',
		'terms.contracts=base,drain,config,cost,retry,recover,own,places,platform',
		`terms.bounds.contactMs=${contactMs}`,
		`terms.bounds.drainMs=${drainMs}`,
		`terms.bounds.graceS=${graceS}`,
		'terms.bounds.lossSlackMs=200',
		'terms.bounds.configApplyMs=2000',
		'terms.bounds.rollbackSlackMs=250',
		'terms.bounds.skewMaxMs=5000',
		'terms.bounds.retryBudgetRatio=0.2',
		'terms.bounds.budgetWindowS=10',
		'terms.bounds.retryBudgetSlack=62',
		`terms.bounds.coldOver=${coldOver}`,
		`terms.bounds.coldSlack=${coldSlack}`,
		`terms.bounds.evacMs=${evacMs}`,
		'terms.bounds.recoverS=15',
		'terms.bounds.holdMaxMs=10000',
		'terms.bounds.thawSlackMs=300',
		'',
	].join('\n');
}

/** Ports that are free on loopback now. */
export async function freePorts(count) {
	const servers = Array.from({length: count}, () => createServer());
	await Promise.all(
		servers.map(
			async (server) =>
				new Promise((resolve) => {
					server.listen(0, '127.0.0.1', resolve);
				}),
		),
	);
	const ports = servers.map((server) => server.address().port);
	await Promise.all(
		servers.map(
			async (server) =>
				new Promise((resolve) => {
					server.close(resolve);
				}),
		),
	);
	return ports;
}
