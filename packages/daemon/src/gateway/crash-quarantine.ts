/**
 * Keeps requests that crash the servers that run them away from further servers. Each
 * daemon reports which requests were in flight at a crash and have not been answered since,
 * through an object in the platform's store, and follows the others' reports: closely for a
 * while after a server has ended, and slowly otherwise, as crashes are rare.
 */
import {
	CrashLosses,
	CrashReports,
	eraOf,
	fold,
	runKeyOf,
	type Clock,
	type CrashEvent,
	type ListedServer,
	type Millis,
	type Random,
} from '@kingcuproute/core';
import {
	crashReportSpec,
	crashReportsKind,
	errorText,
	parseCrashReport,
	type Deployment,
	type ObjectError,
	type ObjectStore,
} from '@kingcuproute/platform';
import {inject, singleton} from 'tsyringe';
import {Log} from '../log/log.js';
import {GatewayMetrics} from './gateway-metrics.js';
import {type Objects} from './kind-follower.js';
import {ObjectReader} from './object-reader.js';
import {ServerNotices} from './server-notices.js';
import {ViewTask} from './view-task.js';

/** How long reports are followed closely after a sign that a server has ended. */
const attentionMs: Millis = 10_000;
/** From the loss of a request at a server that has crashed to the report. */
const reportDelayMs: Millis = 500;
/** Between two writes, in which events gather. */
const writePauseMs: Millis = 250;
const retryMs: Millis = 500;

@singleton()
export class CrashQuarantine {
	readonly #losses = new CrashLosses();
	readonly #reports = new CrashReports();
	readonly #reader: ObjectReader;
	#servers: readonly ListedServer[] = [];
	/** The same by run. */
	#listed: ReadonlyMap<string, ListedServer> = new Map();
	/** The runs whose losses will be reported after a delay. */
	readonly #reportsDue = new Set<string>();
	#isRestored = false;
	#attentiveUntil: Millis = -Infinity;
	#revision: number | undefined;
	#isWriting = false;

	constructor(
		@inject(ViewTask) private readonly view: ViewTask,
		@inject(ServerNotices) private readonly notices: ServerNotices,
		@inject('Store') private readonly store: ObjectStore,
		@inject('Deployment') private readonly deployment: Deployment,
		@inject('Clock') private readonly clock: Clock,
		@inject('Random') private readonly random: Random,
		@inject(GatewayMetrics) metrics: GatewayMetrics,
		@inject(Log) private readonly log: Log,
	) {
		this.#reader = new ObjectReader(metrics, log);
		view.view.subscribe(({servers = []}) => {
			this.#recordServers(servers);
		});
		view.crashReportObjects.objects.subscribe((objects) => {
			this.#merge(objects);
		});
	}

	/** Whether no request can be a suspect, so that none needs a fingerprint. */
	get isIdle(): boolean {
		return this.#losses.isEmpty && this.#reports.isEmpty(this.clock.wall());
	}

	/** For how much longer the request is refused; 0 if it may be sent. */
	leftMs(fingerprint: string): Millis {
		return this.#reports.condemnedMs(fingerprint, this.clock.wall());
	}

	/** Records that the connection to the server broke, or stayed silent, with the request in flight. */
	lost(server: ListedServer, fingerprint: string): void {
		this.#losses.lost(server, fingerprint, this.clock.now());
		if (this.#losses.isOver(server)) {
			this.#reportLater(server);
		}
	}

	/** Records that a server answered the request. */
	answered(fingerprint: string): void {
		this.#losses.answered(fingerprint);
		const at = this.clock.wall();
		if (this.#reports.isSuspected(fingerprint, at)) {
			this.#add({kind: 'answer', at, fingerprint});
		}
	}

	/** Records that the server's run is over, without having announced it. */
	ended(server: ListedServer): void {
		this.#attend();
		if (this.#losses.ended(server, this.clock.now())) {
			this.#reportLosses(server);
		}
	}

	#recordServers(servers: readonly ListedServer[]): void {
		if (servers === this.#servers) {
			return;
		}

		this.#servers = servers;
		const formerly = this.#listed;
		this.#listed = new Map(servers.map((server) => [runKeyOf(server), server]));
		for (const [run, server] of formerly) {
			const hasLeft = server.draining || this.notices.leaving.has(server);
			if (!this.#listed.has(run) && !hasLeft) {
				this.ended(server);
			}
		}
	}

	/** Reports what the server lost in its crash and nobody has answered since. */
	#reportLosses(server: ListedServer): void {
		const {fingerprints, areAll} = this.#losses.take(server, this.clock.now());
		if (fingerprints.length > 0) {
			this.#reportCrash(server, fingerprints);
		}

		if (!areAll) {
			this.#reportLater(server);
		}
	}

	#reportLater(server: ListedServer): void {
		const run = runKeyOf(server);
		if (!this.#reportsDue.has(run)) {
			this.#reportsDue.add(run);
			this.clock.after(reportDelayMs, () => {
				this.#reportsDue.delete(run);
				this.#reportLosses(server);
			});
		}
	}

	#reportCrash(server: ListedServer, fingerprints: readonly string[]): void {
		const {service, backendServer} = server;
		this.log.warn('server-crashed', {
			service,
			backendServer,
			suspects: fingerprints.length,
		});
		const at = this.clock.wall();
		this.#add({kind: 'crash', at, run: runKeyOf(server), fingerprints});
	}

	#add(event: CrashEvent): void {
		this.#logCondemned(this.#reports.add(event, this.clock.wall()));
		this.#attend();
		void this.#write();
	}

	#merge(objects: Objects | undefined): void {
		const events = this.#reader
			.readAll(crashReportsKind, objects, ({name, spec}) =>
				parseCrashReport(spec).map((read) => ({name, read})),
			)
			.map(({name, read}) => {
				if (name === this.deployment.vm && !this.#isRestored) {
					this.#reports.restore(read);
				}

				return read;
			});
		this.#isRestored = true;
		if (this.#isReportLost(objects)) {
			void this.#write();
		}

		const merged = this.#reports.merge(events.flat(), this.clock.wall());
		if (merged.isNew) {
			this.#attend();
		}

		this.#logCondemned(merged.condemned);
	}

	/** Whether the store may have lost this daemon's newest report, or all of it, since it was restored from a copy. */
	#isReportLost(objects: Objects | undefined): boolean {
		const {revision = 0} = this.view.crashReportObjects;
		return (
			objects !== undefined &&
			this.#revision !== undefined &&
			eraOf(revision) > eraOf(this.#revision)
		);
	}

	#logCondemned(fingerprints: readonly string[]): void {
		for (const fingerprint of fingerprints) {
			this.log.warn('request-quarantined', {
				fingerprint,
				forMs: this.leftMs(fingerprint),
			});
		}
	}

	/** Follows the reports closely for a while. */
	#attend(): void {
		this.#attentiveUntil = this.clock.now() + attentionMs;
		if (this.view.crashReportObjects.slow) {
			this.view.crashReportObjects.slow = false;
			this.clock.after(attentionMs, () => {
				this.#relax();
			});
		}
	}

	#relax(): void {
		const leftMs = this.#attentiveUntil - this.clock.now();
		if (leftMs > 0) {
			this.clock.after(leftMs, () => {
				this.#relax();
			});
		} else {
			this.view.crashReportObjects.slow = true;
		}
	}

	/** Writes this daemon's events until the store holds all of them. */
	async #write(): Promise<void> {
		if (this.#isWriting) {
			return;
		}

		this.#isWriting = true;
		let written: readonly CrashEvent[] | undefined;
		while (written !== this.#reports.own) {
			const {own} = this.#reports;
			const error = await this.#writeOnce(own);
			if (!error) {
				written = own;
				await this.clock.sleep(writePauseMs);
			} else if (error.kind !== 'conflict') {
				await this.clock.sleep(this.random.jitter(retryMs));
			}
		}

		this.#isWriting = false;
	}

	async #writeOnce(
		events: readonly CrashEvent[],
	): Promise<ObjectError | undefined> {
		const outcome = await this.store.write({
			kind: crashReportsKind,
			name: this.deployment.vm,
			revision: this.#revision,
			spec: crashReportSpec(events),
		});
		return fold(
			outcome,
			(error): ObjectError | undefined => {
				this.log.info('crash-not-reported', {error: errorText(error)});
				if (error.kind === 'conflict') {
					this.#revision = error.held?.revision;
				} else if (error.kind === 'missing') {
					this.#revision = undefined;
				}

				return error;
			},
			({revision}) => {
				this.#revision = revision;
				return undefined;
			},
		);
	}
}
