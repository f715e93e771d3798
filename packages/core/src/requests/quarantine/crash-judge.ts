/**
 * Finds the request that crashes servers. A request in flight when a server crashes is a
 * suspect; daemons keep suspects on different servers. If a second server crashes with
 * only one suspect in flight, that request is condemned. With several suspects in flight,
 * that crash proves nothing; one of them is condemned if it is also in flight when a
 * third server crashes.
 *
 * Reports of one crash from several daemons are gathered before they are judged.
 */
import {type Millis} from '../../time/clock.js';

export type CrashJudgeOptions = {
	/** How long reports of one crash are gathered. */
	readonly gatherMs: Millis;
	/** How long a crash is remembered. */
	readonly rememberMs: Millis;
	/** Most fingerprints remembered; beyond that the oldest are dropped. */
	readonly maxSuspects: number;
	/**
	 * Whether the only suspect at a second crash is condemned. It may be innocent where
	 * suspects are not kept on different servers, and one cause ends several servers.
	 */
	readonly condemnsSoleSuspect: boolean;
};

/** The fingerprints that one call of `judge` condemns, and those that it suspects. */
export type CrashVerdict = {
	readonly condemned: readonly string[];
	readonly suspected: readonly string[];
};

type Crash = {readonly at: Millis; readonly fingerprints: Set<string>};
type Suspect = {readonly at: Millis; readonly servers: ReadonlySet<string>};

/** A request in flight at the crashes of this many servers is condemned, whatever else was in flight. */
const provenCrashCount = 3;

export class CrashJudge {
	/** Crashes by server whose reports are still being gathered. */
	readonly #gathering = new Map<string, Crash>();
	readonly #suspects = new Map<string, Suspect>();
	/** Requests that were lost, whether or not the server crashed. */
	readonly #losses = new Map<string, Suspect>();

	constructor(private readonly options: CrashJudgeOptions) {}

	/**
	 * Records that connections to `server` broke with requests in flight, before it is
	 * known whether the server crashed. Returns the requests that were already lost at
	 * another server; they should not run until that is known.
	 */
	lost(
		server: string,
		fingerprints: readonly string[],
		now: Millis,
	): readonly string[] {
		const lostBefore: string[] = [];
		for (const fingerprint of fingerprints) {
			const loss = this.#losses.get(fingerprint);
			const servers = new Set(loss?.servers).add(server);
			this.#losses.delete(fingerprint);
			this.#losses.set(fingerprint, {at: now, servers});
			if (servers.size > 1) {
				lostBefore.push(fingerprint);
			}
		}

		dropOldest(this.#losses, now, this.options);
		return lostBefore;
	}

	/** Records one daemon's report of the requests in flight when `server` crashed. */
	report(server: string, fingerprints: readonly string[], now: Millis): void {
		const crash = this.#gathering.get(server) ?? {
			at: now,
			fingerprints: new Set(),
		};
		this.#gathering.set(server, crash);
		for (const fingerprint of fingerprints) {
			crash.fingerprints.add(fingerprint);
		}
	}

	/** Clears a request that was answered: it evidently does not crash the servers that run it. */
	acquit(fingerprint: string): void {
		this.#suspects.delete(fingerprint);
		this.#losses.delete(fingerprint);
		for (const {fingerprints} of this.#gathering.values()) {
			fingerprints.delete(fingerprint);
		}
	}

	/** Whether the request was in flight at a judged crash and not answered since. */
	isSuspected(fingerprint: string, now: Millis): boolean {
		const suspect = this.#suspects.get(fingerprint);
		return suspect !== undefined && suspect.at + this.options.rememberMs > now;
	}

	/** Judges the crashes whose reports have been gathered for long enough. */
	judge(now: Millis): CrashVerdict {
		dropOldest(this.#suspects, now, this.options);
		const condemned: string[] = [];
		const suspected: string[] = [];
		for (const [server, {at, fingerprints}] of this.#gathering) {
			if (at + this.options.gatherMs <= now) {
				this.#gathering.delete(server);
				condemned.push(...this.#condemn(server, fingerprints));
				suspected.push(...fingerprints);
				this.#remember(server, fingerprints, now);
			}
		}

		return {condemned, suspected};
	}

	#condemn(
		server: string,
		fingerprints: ReadonlySet<string>,
	): readonly string[] {
		const crashesOf = (fingerprint: string) =>
			new Set([...(this.#suspects.get(fingerprint)?.servers ?? []), server])
				.size;
		const repeated = [...fingerprints].filter(
			(fingerprint) => crashesOf(fingerprint) > 1,
		);
		return repeated.length === 1 && this.options.condemnsSoleSuspect
			? repeated
			: repeated.filter(
					(fingerprint) => crashesOf(fingerprint) >= provenCrashCount,
				);
	}

	#remember(
		server: string,
		fingerprints: ReadonlySet<string>,
		now: Millis,
	): void {
		for (const fingerprint of fingerprints) {
			const servers = this.#suspects.get(fingerprint)?.servers ?? [];
			this.#suspects.delete(fingerprint);
			this.#suspects.set(fingerprint, {
				at: now,
				servers: new Set([...servers, server]),
			});
		}
	}
}

/** Drops the oldest entries until none is too old and there are not too many. */
function dropOldest(
	suspects: Map<string, Suspect>,
	now: Millis,
	{rememberMs, maxSuspects}: CrashJudgeOptions,
): void {
	for (const [fingerprint, {at}] of suspects) {
		if (at + rememberMs > now && suspects.size <= maxSuspects) {
			return;
		}

		suspects.delete(fingerprint);
	}
}
