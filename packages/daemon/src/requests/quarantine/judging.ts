/**
 * The crashes of each service are judged by one daemon, chosen by rendezvous hashing.
 * This class sends crash reports to the judge and, at the judge, sends its conclusions to
 * all daemons. When a request was lost at a second server, all daemons hold it back before
 * the report is answered, so that a resend through any daemon waits for the judgement.
 */
import {
	CrashJudge,
	rendezvous,
	type Clock,
	type Millis,
} from '@kingcuproute/core';
import {
	condemn,
	reportCrash,
	type CondemnedMessage,
	type CrashReport,
	type Mesh,
} from '@kingcuproute/mesh';
import {type Identity} from '../../fleet/identity.js';
import {type MembershipTask} from '../../fleet/membership-task.js';

const gatherMs: Millis = 300;
const callMs: Millis = 500;
/** Covers the call to the judge and its calls to all daemons, after which it answers. */
const reportMs: Millis = 2 * callMs;
const maxSuspects = 10_000;

/** Fingerprints of requests, by what the judge of a service has concluded. */
export type Conclusion = {
	readonly condemned?: readonly string[];
	readonly suspected?: readonly string[];
	/** Must not run until the crash at which they were in flight is judged. */
	readonly held?: readonly string[];
};

/** How long each kind of conclusion is valid. */
export type ConclusionDurations = {
	readonly quarantineMs: Millis;
	readonly suspicionMs: Millis;
	readonly holdMs: Millis;
};

/** The parts of the daemon that judging uses. */
export type JudgingDependencies = {
	readonly mesh: Mesh;
	readonly membership: MembershipTask;
	readonly self: Identity;
	readonly clock: Clock;
	readonly terms: ConclusionDurations;
	/** Applies a conclusion at this daemon. */
	readonly apply: (message: TimedConclusion) => void;
};

/** A conclusion with the time for which each fingerprint remains in it. */
export type TimedConclusion = {
	readonly condemned: readonly CondemnedMessage[];
	readonly suspected: readonly CondemnedMessage[];
	readonly held: readonly CondemnedMessage[];
};

export class Judging {
	readonly #judge: CrashJudge;

	constructor(private readonly deps: JudgingDependencies) {
		this.#judge = new CrashJudge({
			gatherMs,
			rememberMs: deps.terms.quarantineMs,
			maxSuspects,
			condemnsSoleSuspect: true,
		});
		deps.mesh.serve(reportCrash, async (report) => {
			await this.#receive(report);
			return {};
		});
		deps.mesh.serve(condemn, ({condemned, suspected, held}) => {
			deps.apply({
				condemned: condemned ?? [],
				suspected: suspected ?? [],
				held: held ?? [],
			});
			return {};
		});
	}

	/**
	 * Reports to the judge of a service. Resolves once all daemons know which requests to
	 * hold back, or the judge can't be reached.
	 */
	async report(service: string, report: CrashReport): Promise<void> {
		const {mesh, membership, self} = this.deps;
		const members = membership.members.value;
		const [judge] = rendezvous(
			`crashes-${service}`,
			members.map(({id}) => id),
		);
		const member = members.find(({id}) => id === judge);
		if (!member || judge === self.id) {
			await this.#receive(report);
			return;
		}

		await mesh.call(member.address, reportCrash, report, reportMs);
	}

	/** Judges the crashes whose reports have been gathered for long enough. */
	judgeGathered(): void {
		const {condemned, suspected} = this.#judge.judge(this.deps.clock.now());
		if (suspected.length > 0) {
			void this.#broadcast({condemned, suspected});
		}
	}

	async #receive({
		server,
		fingerprints,
		acquitted,
		lost,
	}: CrashReport): Promise<void> {
		const now = this.deps.clock.now();
		for (const fingerprint of acquitted ?? []) {
			this.#judge.acquit(fingerprint);
		}

		if (server && fingerprints?.length) {
			this.#judge.report(server, fingerprints, now);
		}

		const held = server ? this.#judge.lost(server, lost ?? [], now) : [];
		if (held.length > 0) {
			await this.#broadcast({held});
		}
	}

	async #broadcast({
		condemned = [],
		suspected = [],
		held = [],
	}: Conclusion): Promise<void> {
		const {mesh, membership, self, apply, terms} = this.deps;
		const message = {
			condemned: withLeftMs(condemned, terms.quarantineMs),
			suspected: withLeftMs(suspected, terms.suspicionMs),
			held: withLeftMs(held, terms.holdMs),
		};
		apply(message);
		const others = membership.members.value.filter(({id}) => id !== self.id);
		await Promise.all(
			others.map(async ({address}) =>
				mesh.call(address, condemn, message, callMs),
			),
		);
	}
}

function withLeftMs(
	fingerprints: readonly string[],
	leftMs: Millis,
): CondemnedMessage[] {
	return fingerprints.map((fingerprint) => ({fingerprint, leftMs}));
}
