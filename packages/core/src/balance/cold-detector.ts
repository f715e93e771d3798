/**
 * Decides from the evidence of all callers whether a server is cold. Evidence decays
 * over time. Enough evidence of slowness starts the server's ramp on every caller;
 * enough evidence of recovery ends it early, because a server that was slow for
 * another reason than coldness recovers at once. A small mutable object, owned by the
 * servers' home daemon.
 */
import {type Millis} from '../time/clock.js';
import {type BalancePolicy} from './policy.js';
import {type ColdVerdict, type Evidence} from './slowness.js';

type ServerEvidence = {
	readonly score: number;
	readonly at: Millis;
	/** Whether the last verdict on the server was `cold`. */
	readonly cold: boolean;
	/** When a `cold` verdict was last returned for the callers. */
	readonly notifiedAt: Millis;
};

const noEvidence: ServerEvidence = {
	score: 0,
	at: 0,
	cold: false,
	notifiedAt: Number.NEGATIVE_INFINITY,
};

export class ColdDetector {
	readonly #evidence = new Map<string, ServerEvidence>();

	constructor(private readonly policy: BalancePolicy) {}

	/** Adds evidence of one caller; returns a verdict if all callers should be notified. */
	addEvidence(
		{backendServer, score}: Evidence,
		now: Millis,
	): ColdVerdict | undefined {
		const previous = this.#evidence.get(backendServer) ?? noEvidence;
		const decay = Math.exp((previous.at - now) / this.policy.evidenceDecayMs);
		const updated = {
			...previous,
			score: previous.score * decay + score,
			at: now,
		};
		const kind = this.#verdict(updated);
		this.#evidence.set(backendServer, withVerdict(updated, kind));
		return kind && {kind, backendServer};
	}

	/** Discards the evidence on servers that are not in `servers`. */
	retain(servers: ReadonlySet<string>): void {
		for (const server of this.#evidence.keys()) {
			if (!servers.has(server)) {
				this.#evidence.delete(server);
			}
		}
	}

	#verdict({
		score,
		at,
		cold,
		notifiedAt,
	}: ServerEvidence): ColdVerdict['kind'] | undefined {
		const {coldScore, restartScore, recoverScore, repeatMs} = this.policy;
		if (!cold) {
			return score >= coldScore ? 'cold' : undefined;
		}

		if (score <= -recoverScore) {
			return 'recovered';
		}

		return score >= restartScore && at - notifiedAt >= repeatMs
			? 'cold'
			: undefined;
	}
}

/** The evidence after a verdict: a new verdict resets the score. */
function withVerdict(
	evidence: ServerEvidence,
	kind: ColdVerdict['kind'] | undefined,
): ServerEvidence {
	switch (kind) {
		case 'cold': {
			return {...evidence, score: 0, cold: true, notifiedAt: evidence.at};
		}

		case 'recovered': {
			return {...evidence, score: 0, cold: false};
		}

		case undefined: {
			return evidence;
		}
	}
}
