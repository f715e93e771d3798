/** Starts the daemon as the deploy file says, with the settings of a small deployment. */
import {spawn} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {request} from 'node:http';

const root = fileURLToPath(new URL('../..', import.meta.url));
const deployFile = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
const [program, ...args] = /^run = "([^"]+)"$/m.exec(deployFile)[1].split(' ');

async function freePort() {
	const server = createServer();
	await new Promise((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address();
	await new Promise((resolve) => {
		server.close(resolve);
	});
	return port;
}

export class Daemon {
	log = [];
	#child;

	/** `folder` is for the settings file. */
	constructor(node, zone, {folder, store}) {
		this.node = node;
		this.zone = zone;
		this.folder = folder;
		this.store = store;
	}

	async start() {
		this.port = await freePort();
		this.readyPort = await freePort();
		const peerPort = await freePort();
		const file = path.join(this.folder, `${this.node}.conf`);
		const zones = ['luzon-a', 'luzon-b', 'luzon-c', 'luzon-d'];
		const settings = [
			'grants=call',
			`self.node=${this.node}`,
			'self.role=kingcuprouted',
			'self.machineClass=front',
			'self.serves=front',
			'self.ip=127.0.0.1',
			`self.zone=${this.zone}`,
			'self.region=ph-luzon',
			'self.countsTowardLoss=false',
			'self.bootstrap=true',
			'self.limits.cpuShare=0.54',
			'self.limits.cores=1',
			'self.limits.memoryMb=350',
			'self.limits.maxFds=4100',
			'self.limits.linkMbps=1000.0',
			'self.limits.diskMb=0',
			`network.listen.front=127.0.0.1:${this.port}`,
			`network.listen.ready=127.0.0.1:${this.readyPort}`,
			`network.portRange=${peerPort},${peerPort}`,
			...zones.map((zone) => `network.zones.${zone}=ph-luzon`),
			'platform.discovery=platform',
			'platform.entry=vip',
			'platform.heartbeatMs=870',
			`platform.platform.addr=${this.store}`,
			'platform.platform.form=objects',
			'platform.platform.writesPerS=400',
			'platform.platform.readsPerS=2000',
			'platform.platform.historyS=20',
			'platform.platform.valueBytes=1048576',
			'platform.platform.ttlMinMs=1000',
			'terms.contracts=base,drain,config,cost,retry,recover,own,places,platform',
			'terms.faultTolerance.machines=2',
			'terms.faultTolerance.zones=1',
			'terms.faultTolerance.regions=0',
			'terms.bounds.seedLagS=3',
			'terms.bounds.addrReuseS=2',
			'terms.bounds.contactMs=3000',
			'terms.bounds.ackMs=4000',
			'terms.bounds.catchUpS=4',
			'terms.bounds.drainMs=2000',
			'terms.bounds.graceS=6',
			'terms.bounds.lossSlackMs=200',
			'terms.bounds.configApplyMs=2000',
			'terms.bounds.rollbackSlackMs=250',
			'terms.bounds.skewMaxMs=5000',
			'terms.bounds.retryBudgetRatio=0.2',
			'terms.bounds.budgetWindowS=10',
			'terms.bounds.retryBudgetSlack=62',
			'terms.bounds.coldOver=1.5',
			'terms.bounds.coldSlack=5',
			'terms.bounds.evacMs=5000',
			'terms.bounds.recoverS=15',
			'terms.bounds.holdMaxMs=10000',
			'terms.bounds.thawSlackMs=300',
		];
		writeFileSync(file, settings.join('\n') + '\n');
		const {PATH, HOME, LANG} = process.env;
		this.#child = spawn(program, args, {
			cwd: root,
			env: {PATH, HOME, LANG, KINGCUPROUTE_BOOT: file},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		for (const stream of [this.#child.stdout, this.#child.stderr]) {
			stream.on('data', (text) => {
				this.log.push(String(text));
			});
		}
	}

	async isReady() {
		return new Promise((resolve) => {
			const req = request(
				{port: this.readyPort, path: '/kingcuproute/ready', agent: false},
				(res) => {
					res.resume();
					resolve(res.statusCode === 200);
				},
			);
			req.on('error', () => {
				resolve(false);
			});
			req.end();
		});
	}

	signal(name) {
		this.#child.kill(name);
	}

	/** Ends the process at once. */
	async stop() {
		if (this.#child && this.#child.exitCode === null) {
			const ended = new Promise((resolve) => {
				this.#child.once('exit', resolve);
			});
			this.#child.kill('SIGKILL');
			await ended;
		}
	}
}
