/** What backend servers announce about themselves: that they are leaving, or want no requests for a while. */
import {
	chooseCandidates,
	LeavingServers,
	ServerHolds,
	runKeyOf,
	type Candidates,
	type Clock,
	type ListedServer,
	type Millis,
} from '@kingcuproute/core';
import {type AnswerMetadata, type Deployment} from '@kingcuproute/platform';
import {inject, singleton} from 'tsyringe';
import {Log} from '../log/log.js';
import {GatewayMetrics} from './gateway-metrics.js';
import {readingFields} from './reading.js';
import {ViewTask} from './view-task.js';

/** After a failed call to the store, entries that arrive within this time may have changed long before. */
const catchUpMs: Millis = 6000;
/** Share of the time that the platform allows, from the change of the entry on, within which a leaving server still gets requests that no other server can take; the rest is for their way there. */
const leavingShare = 0.5;
/** Malformed fields are logged once for each server and field, up to this many. */
const maxMalformedLogged = 1000;

export type Notice = Pick<AnswerMetadata, 'leaving' | 'holdMs' | 'malformed'>;

@singleton()
export class ServerNotices {
	readonly leaving = new LeavingServers();
	readonly holds = new ServerHolds();
	/** The runs that were not leaving when the entries were last read. */
	#staying: ReadonlySet<string> = new Set();
	readonly #malformedLogged = new Set<string>();
	readonly #leavingMs: Millis;

	constructor(
		@inject(ViewTask) private readonly view: ViewTask,
		@inject('Deployment') {bounds}: Deployment,
		@inject('Clock') private readonly clock: Clock,
		@inject(GatewayMetrics) private readonly metrics: GatewayMetrics,
		@inject(Log) private readonly log: Log,
	) {
		this.#leavingMs = bounds.drainMs * leavingShare;
		view.view.subscribe(({servers = []}) => {
			this.#recordEntries(servers);
		});
	}

	/** The servers among `serving` that may get a request now. */
	candidates(serving: readonly ListedServer[]): Candidates {
		const {leaving, holds, clock} = this;
		const leavingMs = this.#leavingMs;
		return chooseCandidates(serving, {leaving, holds, leavingMs}, clock.now());
	}

	/** Whether the server may get a request that was meant for it some time ago. */
	mayStart(server: ListedServer): boolean {
		return this.leaving.mayTake(server, this.#leavingMs, this.clock.now());
	}

	/** Records that the server announced its leaving in an answer. */
	recordLeaving(server: ListedServer): void {
		this.#addLeaving(server, this.clock.now(), 'answer');
	}

	/** Records what came with an answer of the server. */
	record(server: ListedServer, {leaving, holdMs, malformed}: Notice): void {
		if (leaving) {
			this.recordLeaving(server);
		}

		if (holdMs !== undefined) {
			const {service, backendServer} = server;
			this.holds.hold(server, holdMs, this.clock.now());
			this.metrics.serverNotice('hold');
			this.log.info('server-held', {service, backendServer, holdMs});
		}

		for (const field of malformed) {
			this.#recordMalformed(server, field);
		}
	}

	#recordEntries(servers: readonly ListedServer[]): void {
		const now = this.clock.now();
		const {changedSince} = this.view.serversReading;
		const isCurrent = now - this.view.serversFailedAt > catchUpMs;
		for (const server of servers.filter(({draining}) => draining)) {
			const wasStaying = this.#staying.has(runKeyOf(server));
			const since = isCurrent && wasStaying ? changedSince : -Infinity;
			this.#addLeaving(server, since, 'entry');
		}

		this.#staying = new Set(
			servers
				.filter(({draining}) => !draining)
				.map((server) => runKeyOf(server)),
		);
		this.leaving.prune(servers, now);
		this.holds.prune(now);
	}

	#addLeaving(
		server: ListedServer,
		since: Millis,
		by: 'answer' | 'entry',
	): void {
		if (this.leaving.add(server, since, this.clock.now())) {
			const {service, backendServer} = server;
			this.metrics.serverNotice('leaving');
			this.log.info('server-leaving', {
				service,
				backendServer,
				by,
				...(by === 'entry' &&
					readingFields(this.view.serversReading, this.clock.now())),
			});
		}
	}

	#recordMalformed({backendServer}: ListedServer, field: string): void {
		this.metrics.serverNotice('malformed');
		const key = `${backendServer} ${field}`;
		if (
			!this.#malformedLogged.has(key) &&
			this.#malformedLogged.size < maxMalformedLogged
		) {
			this.#malformedLogged.add(key);
			this.log.warn('answer-field-ignored', {backendServer, field});
		}
	}
}
