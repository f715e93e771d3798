/** Takes callers' requests and the balancer's questions whether this daemon is ready. */
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Clock, type Random} from '@kingcuproute/core';
import {type Address, type Deployment} from '@kingcuproute/platform';
import {inject, singleton} from 'tsyringe';
import {Log} from '../log/log.js';
import {entryServer} from '../requests/entry-server.js';
import {ServerConnections} from '../requests/server-connections.js';
import {ServiceBudgets} from '../requests/service-budgets.js';
import {Task} from '../task/task.js';
import {type ExchangeMeans} from './exchange-means.js';
import {GatewayExchange} from './gateway-exchange.js';
import {sendEnd} from './request-end.js';
import {ServerPicks} from './server-picks.js';
import {TrafficTask} from './traffic-task.js';
import {ViewTask} from './view-task.js';

/** Before the configuration says how long callers may take. */
const entryBounds = {
	maxHeaderLen: 65_536,
	headerMs: 10_000,
	requestMs: 60_000,
	callerIdleMs: 30_000,
} as const;
const connectionBounds = {
	maxHeaderLen: 65_536,
	maxConnections: 32,
	connectMs: 500,
	serverIdleMs: 4000,
} as const;
/** The balancer asks each second and takes a daemon out after two misses. */
const noticeMs = 2500;
/** What is left of the time to stop for ending the process. */
const endMs = 300;
/** Half of what the fleet may resend stays unused, since its daemons do not count together. */
const retryPart = 0.5;

@singleton()
export class GatewayEntryTask extends Task {
	readonly #entry: Server;
	readonly #readiness: Server;
	readonly #means: ExchangeMeans;
	#inFlight = 0;
	#stopping = false;

	constructor(
		@inject('Deployment') private readonly deployment: Deployment,
		@inject(ViewTask) view: ViewTask,
		@inject(ServerPicks) picks: ServerPicks,
		@inject(TrafficTask) traffic: TrafficTask,
		@inject('Clock') private readonly clock: Clock,
		@inject('Random') random: Random,
		@inject(Log) private readonly log: Log,
	) {
		super();
		const {retryShare, retrySlack} = deployment.bounds;
		const burstOf = (daemons: number) =>
			Math.max(1, Math.floor((retrySlack * retryPart) / daemons));
		const budgets = new ServiceBudgets({
			share: retryShare * retryPart,
			burst: burstOf(1),
		});
		const connections = new ServerConnections(connectionBounds, clock);
		this.#means = {
			view,
			picks,
			traffic,
			connections,
			budgets,
			clock,
			random,
			log,
		};
		this.#entry = entryServer(entryBounds, (req, res) => {
			this.#inFlight++;
			res.once('close', () => {
				this.#inFlight--;
			});
			res.shouldKeepAlive = !this.#stopping && res.shouldKeepAlive;
			void this.#exchange(req, res);
		});
		this.#readiness = createServer((_req, res) => {
			res.writeHead(this.isReady ? 200 : 503);
			res.end();
		});
		view.view.subscribe(({routes, servers = [], daemons}) => {
			budgets.limit(burstOf(daemons));
			connections.keep(new Set(servers.map(({address}) => address)));
			if (routes) {
				const {idleMs, headerMs} = routes.config.limits;
				this.#entry.keepAliveTimeout = idleMs;
				this.#entry.headersTimeout = headerMs;
			}
		});
	}

	get isReady(): boolean {
		const {routes, servers} = this.#means.view.view.value;
		return !this.#stopping && routes !== undefined && servers !== undefined;
	}

	override async start(): Promise<void> {
		const {entry, readiness} = this.deployment.listen;
		await Promise.all([
			listening(this.#entry, entry),
			listening(this.#readiness, readiness),
		]);
		this.log.info('listening', {
			entry: shown(this.#entry),
			readiness: shown(this.#readiness),
		});
	}

	/** Goes on answering until the balancer has noticed, then finishes what is in flight. */
	override async stop(): Promise<void> {
		const until = this.clock.now() + this.deployment.bounds.stopMs - endMs;
		this.#stopping = true;
		await this.clock.sleep(noticeMs);
		this.#entry.close();
		this.#entry.closeIdleConnections();
		while (this.#inFlight > 0 && this.clock.now() < until) {
			await this.clock.sleep(20);
		}

		this.log.info('entry-stopped', {cut: this.#inFlight});
		this.#readiness.close();
	}

	async #exchange(req: IncomingMessage, res: ServerResponse): Promise<void> {
		try {
			await new GatewayExchange(this.#means, req, res).run();
		} catch (error) {
			const {message, stack} = error as Error;
			this.log.error('exchange-failed', {message, stack});
			sendEnd(res, {reason: 'internal', notRun: false});
		}
	}
}

function shown(server: Server): string {
	const {address, port} = server.address() as AddressInfo;
	return `${address}:${port}`;
}

async function listening(server: Server, {host, port}: Address): Promise<void> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
}
