/**
 * What the daemons have told each other of requests that may crash backend servers, and
 * which requests no server may get any more. Every daemon judges the same events in the
 * same way, so that nobody has to be asked. A request is condemned once it was in flight
 * at the crashes of three servers and has not been answered since the first of them.
 */
import {hash64} from '../chance/hash.js';
import {CrashJudge} from '../requests/quarantine/crash-judge.js';
import {ExpiringSet} from '../requests/quarantine/expiring-set.js';
import {type Millis} from '../time/clock.js';

/** Something that a daemon saw, `at` by its wall clock. */
export type CrashEvent =
	/** A server crashed with these requests in flight. */
	| {
			readonly kind: 'crash';
			readonly at: Millis;
			readonly run: string;
			readonly fingerprints: readonly string[];
	  }
	/** A request in flight at a crash was answered. */
	| {
			readonly kind: 'answer';
			readonly at: Millis;
			readonly fingerprint: string;
	  };

/** What came of reported events. */
export type MergeOutcome = {
	readonly isNew: boolean;
	readonly condemned: readonly string[];
};

/** For how long a condemned request is refused, and a crash remembered. */
const rememberMs: Millis = 600_000;
const maxSuspects = 10_000;
const maxCondemned = 1000;
/** The most events that a daemon reports, the newest. */
const maxEvents = 50;

export class CrashReports {
	readonly #judge = new CrashJudge({
		gatherMs: 0,
		rememberMs,
		maxSuspects,
		condemnsSoleSuspect: false,
	});

	readonly #condemned = new ExpiringSet(maxCondemned);
	/** The events applied so far, with the time of each. */
	readonly #seen = new Map<bigint, Millis>();
	#own: readonly CrashEvent[] = [];
	/** By then everybody is free of suspicion. */
	#suspicionUntil: Millis = -Infinity;

	/** The events that this daemon reports to the others. */
	get own(): readonly CrashEvent[] {
		return this.#own;
	}

	/** Whether there can be a suspect; if not, no request needs a fingerprint. */
	isEmpty(wall: Millis): boolean {
		return wall >= this.#suspicionUntil;
	}

	/** Adds an event of this daemon; returns the requests that it condemns. */
	add(event: CrashEvent, wall: Millis): readonly string[] {
		this.#own = [...this.#own, event]
			.filter(({at}) => wall - at < rememberMs)
			.slice(-maxEvents);
		return this.#apply(event, wall);
	}

	/** Goes on with what a former run of this daemon reported. */
	restore(events: readonly CrashEvent[]): void {
		this.#own = [...events, ...this.#own].slice(-maxEvents);
	}

	/** Adds events that daemons have reported; tells whether any is new, and which requests are condemned by them. */
	merge(events: readonly CrashEvent[], wall: Millis): MergeOutcome {
		const unseen = events
			.filter((event) => wall - event.at < rememberMs)
			.filter((event) => !this.#seen.has(keyOf(event)))
			.toSorted((a, b) => a.at - b.at);
		const condemned = unseen.flatMap((event) => this.#apply(event, wall));
		for (const [key, at] of this.#seen) {
			if (wall - at >= rememberMs) {
				this.#seen.delete(key);
			}
		}

		return {isNew: unseen.length > 0, condemned};
	}

	/** Whether the request was in flight at a crash and not answered since. */
	isSuspected(fingerprint: string, wall: Millis): boolean {
		return this.#judge.isSuspected(fingerprint, wall);
	}

	/** For how much longer the request is to be refused; 0 if it may be sent. */
	condemnedMs(fingerprint: string, wall: Millis): Millis {
		return this.#condemned.leftMs(fingerprint, wall);
	}

	#apply(event: CrashEvent, wall: Millis): readonly string[] {
		this.#seen.set(keyOf(event), event.at);
		if (event.kind === 'answer') {
			this.#judge.acquit(event.fingerprint);
			return [];
		}

		const {run, fingerprints} = event;
		this.#suspicionUntil = wall + rememberMs;
		this.#judge.report(run, fingerprints, wall);
		const {condemned} = this.#judge.judge(wall);
		const added = condemned.filter((each) => !this.#condemned.has(each, wall));
		for (const fingerprint of condemned) {
			this.#condemned.add(fingerprint, wall + rememberMs);
		}

		return added;
	}
}

function keyOf(event: CrashEvent): bigint {
	return hash64(JSON.stringify(event));
}
