/** The HTTP servers of the daemon: one for callers' requests, one for the load balancer's readiness checks. */
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {
	BufferBudget,
	type Clock,
	type Millis,
	type Random,
	type StopPlan,
} from '@kingcuproute/core';
import {
	fallbackLimits,
	type Address,
	type Deployment,
} from '@kingcuproute/platform';
import {inject, singleton} from 'tsyringe';
import {Log} from '../log/log.js';
import {type Turn} from '../requests/caller-connection.js';
import {entryServer, type EntryBounds} from '../requests/entry-server.js';
import {ServerConnections} from '../requests/server-connections.js';
import {ServiceBudgets} from '../requests/service-budgets.js';
import {Task} from '../task/task.js';
import {CrashQuarantine} from './crash-quarantine.js';
import {CustomerQuotas} from './customer-quotas.js';
import {type ExchangeContext} from './exchange-context.js';
import {GatewayExchange} from './gateway-exchange.js';
import {GatewayMetrics, metricsPath} from './gateway-metrics.js';
import {sendEnd} from './request-end.js';
import {ServerNotices} from './server-notices.js';
import {ServerPicks} from './server-picks.js';
import {TrafficTask} from './traffic-task.js';
import {ViewTask} from './view-task.js';
import {WaitingRequests} from './waiting-requests.js';
import {WarmthChecks} from './warmth-checks.js';

/** Limits for callers; `headerMs` and `callerIdleMs` hold until the routing configuration sets them. */
const entryBounds: EntryBounds = {
	maxHeaderLen: fallbackLimits.headerLen,
	headerMs: fallbackLimits.headerMs,
	requestMs: 60_000,
	callerIdleMs: fallbackLimits.idleMs,
};
const connectionBounds = {
	maxHeaderLen: 65_536,
	maxConnections: 32,
	connectMs: 500,
	serverIdleMs: 4000,
} as const;
/** The load balancer checks readiness every second and takes a daemon out after two failed checks. */
const noticeMs = 2500;
/** Part of the stop time that is reserved for the exit of the process. */
const exitMs = 300;
/** Time for the answers to requests that end with the process, within `exitMs`. */
const lastAnswersMs: Millis = 100;
/** Only half of the fleet's retry budget is used, because each daemon counts its retries separately. */
const retryBudgetShare = 0.5;

@singleton()
export class GatewayEntryTask extends Task {
	readonly #entry: Server;
	readonly #readiness: Server;
	readonly #context: ExchangeContext;
	readonly #exchanges = new Set<GatewayExchange>();
	#inFlight = 0;
	#stopPlan: StopPlan | undefined;

	constructor(
		@inject('Deployment') private readonly deployment: Deployment,
		@inject(ViewTask) view: ViewTask,
		@inject(ServerPicks) picks: ServerPicks,
		@inject(ServerNotices) notices: ServerNotices,
		@inject(WarmthChecks) warmth: WarmthChecks,
		@inject(TrafficTask) traffic: TrafficTask,
		@inject(CrashQuarantine) quarantine: CrashQuarantine,
		@inject(CustomerQuotas) quotas: CustomerQuotas,
		@inject('Clock') private readonly clock: Clock,
		@inject('Random') random: Random,
		@inject(GatewayMetrics) private readonly metrics: GatewayMetrics,
		@inject(Log) private readonly log: Log,
	) {
		super();
		const {retryShare, retrySlack, retryWindowMs} = deployment.bounds;
		const slackOf = (daemons: number) =>
			(retrySlack * retryBudgetShare) / daemons;
		const retryBounds = {
			share: retryShare * retryBudgetShare,
			slack: slackOf(1),
			windowMs: retryWindowMs,
		};
		const budgets = new ServiceBudgets(retryBounds, clock);
		const connections = new ServerConnections(connectionBounds, clock);
		const buffers = new BufferBudget(deployment.bufferLen);
		const {admission, loads} = picks;
		const waiting = new WaitingRequests({
			admission,
			loads,
			clock,
			buffers,
			metrics,
			log,
		});
		this.#context = {
			view,
			picks,
			waiting,
			notices,
			warmth,
			traffic,
			quarantine,
			quotas,
			connections,
			budgets,
			buffers,
			clock,
			random,
			metrics,
			log,
			stopPlan: () => this.#stopPlan,
		};
		this.#entry = entryServer(entryBounds, (req, res, turn) => {
			this.#inFlight++;
			turn.onceEnded(() => {
				this.#inFlight--;
			});
			void this.#exchange(req, res, turn);
		});
		this.#readiness = createServer((req, res) => {
			if (req.url === metricsPath) {
				void this.#sendMetrics(res);
				return;
			}

			res.writeHead(this.isReady ? 200 : 503);
			res.end();
		});
		view.view.subscribe(({routes, servers = [], daemons}) => {
			budgets.setSlack(slackOf(daemons));
			waiting.wakeAll();
			for (const exchange of this.#exchanges) {
				exchange.reconsider();
			}

			connections.retainOnly(new Set(servers.map(({address}) => address)));
			if (routes) {
				const {idleMs, headerMs} = routes.config.limits;
				this.#entry.keepAliveTimeout = idleMs;
				this.#entry.headersTimeout = headerMs;
			}
		});
	}

	get isReady(): boolean {
		return !this.#stopPlan && this.#context.view.isComplete;
	}

	override async start(): Promise<void> {
		const {entry, readiness} = this.deployment.listen;
		await Promise.all([
			listen(this.#entry, entry),
			listen(this.#readiness, readiness),
		]);
		this.log.info('listening', {
			entry: formatAddress(this.#entry),
			readiness: formatAddress(this.#readiness),
		});
	}

	/** Keeps answering until the load balancer has noticed, then finishes the requests in flight. */
	override async stop(): Promise<void> {
		const now = this.clock.now();
		const endsAt = now + this.deployment.bounds.stopMs - exitMs;
		this.#stopPlan = {noticedBy: now + noticeMs, endsAt};
		await this.clock.sleep(noticeMs);
		// A timer may fire a little early.
		this.#stopPlan = {noticedBy: this.clock.now(), endsAt};
		for (const exchange of this.#exchanges) {
			exchange.refuseIfWaiting();
		}

		this.#entry.close();
		this.#entry.closeIdleConnections();
		while (this.#inFlight > 0 && this.clock.now() < endsAt) {
			await this.clock.sleep(20);
		}

		this.log.info('entry-stopped', {cut: this.#inFlight});
		await this.#endExchanges();
		this.#readiness.close();
	}

	/** Answers the requests that are left, and waits until the answers are written. */
	async #endExchanges(): Promise<void> {
		for (const exchange of this.#exchanges) {
			exchange.endWithProcess();
		}

		const until = this.clock.now() + lastAnswersMs;
		while (this.#inFlight > 0 && this.clock.now() < until) {
			await this.clock.sleep(5);
		}
	}

	async #sendMetrics(res: ServerResponse): Promise<void> {
		const text = await this.metrics.text();
		res.writeHead(200, {'content-type': this.metrics.contentType});
		res.end(text);
	}

	async #exchange(
		req: IncomingMessage,
		res: ServerResponse,
		turn: Turn,
	): Promise<void> {
		const exchange = new GatewayExchange(this.#context, {req, res, turn});
		this.#exchanges.add(exchange);
		try {
			await exchange.run();
		} catch (error) {
			const {message, stack} = error as Error;
			this.log.error('exchange-failed', {message, stack});
			sendEnd(res, {reason: 'internal', notRun: false});
		} finally {
			this.#exchanges.delete(exchange);
		}
	}
}

function formatAddress(server: Server): string {
	const {address, port} = server.address() as AddressInfo;
	return `${address}:${port}`;
}

async function listen(server: Server, {host, port}: Address): Promise<void> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
}
