/**
 * Quarantine: every daemon refuses a request that was in flight at two crashes. Each
 * daemon reports to the judge of the service, a daemon chosen by rendezvous hashing, which
 * requests it had in flight at a crash. The judge sends its conclusions to all daemons.
 */
import {
	Clock,
	ExpiringSet,
	type BackendServer,
	type Cancel,
	type Millis,
} from '@kingcuproute/core';
import {Mesh} from '@kingcuproute/mesh';
import {inject, singleton} from 'tsyringe';
import {Identity} from '../../fleet/identity.js';
import {MembershipTask} from '../../fleet/membership-task.js';
import {Log} from '../../log/log.js';
import {Task} from '../../task/task.js';
import {Topic} from '../../task/topic.js';
import {CrashEvidence} from './crash-evidence.js';
import {Judging, type TimedConclusion} from './judging.js';
import {LossReports} from './loss-reports.js';

const tickMs: Millis = 100;
const quarantineMs: Millis = 600_000;
const suspicionMs: Millis = 60_000;
/** A request is held back this long while its second crash is being judged. */
const holdMs: Millis = 2000;
const maxCondemned = 1000;
const maxSuspects = 10_000;
const maxReported = 1000;
/** Crash reports kept so that they can be sent to a new judge. */
const maxReports = 50;

type SentReport = {
	readonly service: string;
	readonly server: string;
	readonly fingerprints: string[];
	readonly at: Millis;
};

@singleton()
export class QuarantineTask extends Task {
	/** Fingerprints of the requests in quarantine now. */
	readonly condemned = new Topic<readonly string[]>([]);
	readonly #condemned = new ExpiringSet(maxCondemned);
	readonly #suspected = new ExpiringSet(maxSuspects);
	readonly #held = new ExpiringSet(maxSuspects);
	readonly #judging: Judging;
	readonly #losses: LossReports;

	/** Attempts of suspects in flight from this daemon, counted by server and fingerprint. */
	readonly #inFlight = new Map<string, Map<string, number>>();
	/** Requests lost at a server while it is being checked for a crash, by server. */
	readonly #lost = new Map<string, Set<string>>();
	readonly #evidence: CrashEvidence;
	#reports: readonly SentReport[] = [];
	#cancels: readonly Cancel[] = [];

	constructor(
		@inject('Mesh') mesh: Mesh,
		@inject(MembershipTask) private readonly membership: MembershipTask,
		@inject(Identity) self: Identity,
		@inject('Clock') private readonly clock: Clock,
		@inject(Log) private readonly log: Log,
	) {
		super();
		this.#evidence = new CrashEvidence(clock);
		this.#judging = new Judging({
			mesh,
			membership,
			self,
			clock,
			terms: {quarantineMs, suspicionMs, holdMs},
			apply: (concluded) => {
				this.#apply(concluded);
			},
		});
		this.#losses = new LossReports(this.#judging, clock);
	}

	override async start(): Promise<void> {
		this.#cancels = [
			this.clock.repeat(tickMs, () => {
				this.#judging.judgeGathered();
				this.#publish();
			}),
			this.membership.members.subscribe(() => {
				this.#resendReports();
			}),
		];
	}

	override async stop(): Promise<void> {
		for (const cancel of this.#cancels) {
			cancel();
		}
	}

	isCondemned(fingerprint: string): boolean {
		return this.#condemned.has(fingerprint, this.clock.now());
	}

	/**
	 * For how much longer the request must not run because its second loss is being
	 * judged, in ms; 0 if it may run.
	 */
	heldMs(fingerprint: string): Millis {
		return this.#held.leftMs(fingerprint, this.clock.now());
	}

	/**
	 * Whether the request may go to the server: a suspect may not go where this daemon has
	 * another suspect in flight.
	 */
	mayGoTo(fingerprint: string, {backendServer}: BackendServer): boolean {
		if (!this.isSuspected(fingerprint)) {
			return true;
		}

		const suspects = this.#inFlight.get(backendServer);
		return [...(suspects?.keys() ?? [])].every(
			(other) => other === fingerprint,
		);
	}

	/** Whether the request was in flight at a crash and not answered since. */
	isSuspected(fingerprint: string): boolean {
		return this.#suspected.has(fingerprint, this.clock.now());
	}

	/** Counts an attempt of a suspect as in flight; returns a function to call at its end. */
	trackAttempt(
		fingerprint: string,
		{backendServer}: BackendServer,
	): () => void {
		if (!this.isSuspected(fingerprint)) {
			return () => undefined;
		}

		const suspects =
			this.#inFlight.get(backendServer) ?? new Map<string, number>();
		this.#inFlight.set(backendServer, suspects);
		suspects.set(fingerprint, (suspects.get(fingerprint) ?? 0) + 1);
		return () => {
			const left = (suspects.get(fingerprint) ?? 1) - 1;
			if (left > 0) {
				suspects.set(fingerprint, left);
			} else {
				suspects.delete(fingerprint);
			}
		};
	}

	/** Acquits a suspect that a server answered. */
	answered(fingerprint: string, service: string): void {
		if (this.isSuspected(fingerprint)) {
			this.#suspected.delete(fingerprint);
			this.#reports = this.#reports.map((report) => ({
				...report,
				fingerprints: report.fingerprints.filter(
					(suspect) => suspect !== fingerprint,
				),
			}));
			this.#held.delete(fingerprint);
			void this.#judging.report(service, {acquitted: [fingerprint]});
		}
	}

	/**
	 * Handles a connection that broke with the request in flight. Resolves once all
	 * daemons hold back a resend, if that is needed.
	 */
	async lost(fingerprint: string, server: BackendServer): Promise<void> {
		const now = this.clock.now();
		if (this.isSuspected(fingerprint)) {
			this.#held.add(fingerprint, now + holdMs);
		}

		this.#suspected.add(fingerprint, now + suspicionMs);
		this.#recordLoss(fingerprint, server);
		await this.#losses.add(fingerprint, server);
	}

	#recordLoss(fingerprint: string, server: BackendServer): void {
		const lost = this.#lost.get(server.backendServer);
		if (lost) {
			lost.add(fingerprint);
			return;
		}

		this.#lost.set(server.backendServer, new Set([fingerprint]));
		void this.#checkForCrash(server);
	}

	async #checkForCrash({
		backendServer,
		address,
		service,
	}: BackendServer): Promise<void> {
		const crashed = await this.#evidence.hasCrashed(address);
		const lost = [...(this.#lost.get(backendServer) ?? [])];
		this.#lost.delete(backendServer);
		if (!crashed) {
			return;
		}

		this.log.warn('server-crashed', {
			backendServer,
			service,
			inFlight: lost.length,
		});
		const report: SentReport = {
			service,
			server: backendServer,
			fingerprints: lost.slice(0, maxReported),
			at: this.clock.now(),
		};
		this.#reports = [...this.#reports, report].slice(-maxReports);
		await this.#send(report);
	}

	/** Sends the kept reports again, as the judge may be new; it counts a crash only once. */
	#resendReports(): void {
		const oldest = this.clock.now() - quarantineMs;
		this.#reports = this.#reports.filter(({at}) => at > oldest);
		for (const report of this.#reports) {
			void this.#send(report);
		}
	}

	async #send({service, server, fingerprints}: SentReport): Promise<void> {
		await this.#judging.report(service, {server, fingerprints});
	}

	#apply({condemned, suspected, held}: TimedConclusion): void {
		const now = this.clock.now();
		for (const {fingerprint} of condemned) {
			this.log.warn('quarantined', {fingerprint: fingerprint ?? ''});
		}

		const updates = [
			{into: this.#condemned, from: condemned},
			{into: this.#suspected, from: suspected},
			{into: this.#held, from: held},
		];
		for (const {into, from} of updates) {
			for (const {fingerprint, leftMs} of from) {
				into.add(fingerprint ?? '', now + (leftMs ?? 0));
			}
		}

		this.#publish();
	}

	#publish(): void {
		const condemned = this.#condemned.held(this.clock.now());
		if (condemned.join(' ') !== this.condemned.value.join(' ')) {
			this.condemned.publish(condemned);
		}
	}
}
