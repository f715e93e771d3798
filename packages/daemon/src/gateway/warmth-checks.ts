/**
 * Keeps what the daemon believes about which backend servers are cold, and asks servers
 * of which that is not known. A server is asked only when a request would go there, and
 * requests that arrive meanwhile wait for the same answer.
 */
import {
	fold,
	runKeyOf,
	ServerWarmth,
	type Clock,
	type ListedServer,
	type Millis,
	type RoutedService,
	type Warmth,
} from '@kingcuproute/core';
import {type HealthChecks} from '@kingcuproute/platform';
import {inject, singleton} from 'tsyringe';
import {Log} from '../log/log.js';
import {GatewayMetrics} from './gateway-metrics.js';
import {ViewTask} from './view-task.js';

/** Many times the usual answer time of a check, which needs no free slot. */
const checkTimeoutMs: Millis = 300;

/** For the log: for how much longer the server is cold, or why that is not known. */
type CheckOutcome = {readonly coldMs: Millis} | {readonly error: string};

@singleton()
export class WarmthChecks {
	readonly #warmth = new ServerWarmth();
	/** The checks under way, by the server's run. */
	readonly #underWay = new Map<string, Promise<void>>();
	#domainsOut: ReadonlySet<string> = new Set();

	constructor(
		@inject(ViewTask) private readonly view: ViewTask,
		@inject('HealthChecks') private readonly checks: HealthChecks,
		@inject('Clock') private readonly clock: Clock,
		@inject(GatewayMetrics) private readonly metrics: GatewayMetrics,
		@inject(Log) private readonly log: Log,
	) {
		view.view.subscribe(({servers = [], domainsOut}) => {
			this.#recordEntries(servers);
			this.#recordReturns(servers, domainsOut);
		});
	}

	/** What is believed of a server of `service` now. */
	of(service: RoutedService, server: ListedServer): Warmth {
		return service.coldRate === Infinity
			? 'warm'
			: this.#warmth.of(server, this.view.isServersCurrent, this.clock.now());
	}

	/** For how much longer the server is believed to be cold; 0 if it is not. */
	coldLeftMs(server: ListedServer): Millis {
		return this.#warmth.coldLeftMs(server, this.clock.now());
	}

	/** Asks the server whether it is cold. Resolves once it has answered, or has not answered in time. */
	async check(service: RoutedService, server: ListedServer): Promise<void> {
		const run = runKeyOf(server);
		let check = this.#underWay.get(run);
		if (!check) {
			check = this.#ask(service, server);
			this.#underWay.set(run, check);
		}

		return check;
	}

	/** Records that the server reset a connection or refused one, as it does when it starts again. */
	recordReset(server: ListedServer): void {
		this.#warmth.suspect(server, this.clock.now());
	}

	async #ask(service: RoutedService, server: ListedServer): Promise<void> {
		const {backendServer} = server;
		const startedAt = this.clock.now();
		const answer = await this.checks.coldMs(
			server,
			service.healthPath,
			checkTimeoutMs,
		);
		this.#underWay.delete(runKeyOf(server));
		const now = this.clock.now();
		const outcome = fold(
			answer,
			(error): CheckOutcome => {
				this.#warmth.unanswered(server, now);
				return {error};
			},
			(coldMs) => {
				this.#warmth.answered(server, coldMs, now);
				return {coldMs};
			},
		);
		const tookMs = Math.round(now - startedAt);
		this.metrics.warmthChecked(answer.isRight() ? 'answered' : 'unanswered');
		this.log.routing('warmth-checked', {
			service: service.service,
			backendServer,
			...outcome,
			tookMs,
			ageMs: this.#entriesAgeMs(),
		});
	}

	#recordEntries(servers: readonly ListedServer[]): void {
		const changes = this.#warmth.update(servers, this.clock.now());
		for (const {server, isCold} of changes) {
			const {service, backendServer, coldMs} = server;
			const event = isCold ? 'server-cold' : 'server-warm';
			const ageMs = this.#entriesAgeMs();
			this.metrics.warmthChanged(isCold ? 'cold' : 'warm');
			this.log.info(event, {service, backendServer, coldMs, ageMs});
		}
	}

	/** Servers got no requests while their failure domain was out of service, and may be cold for that. */
	#recordReturns(
		servers: readonly ListedServer[],
		domainsOut: ReadonlySet<string>,
	): void {
		const formerlyOut = this.#domainsOut;
		this.#domainsOut = domainsOut;
		for (const server of servers) {
			const {failureDomain} = server;
			if (formerlyOut.has(failureDomain) && !domainsOut.has(failureDomain)) {
				this.#warmth.returned(server, this.clock.now());
			}
		}
	}

	#entriesAgeMs(): Millis {
		return Math.round(this.clock.now() - this.view.serversReadAt);
	}
}
