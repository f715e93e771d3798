/**
 * Daemons as choices for a guard, by failure domain: the rules are judged once a
 * domain, and names are hashed once a plan. Held in arrays of numbers, since each
 * choice looks at every daemon of several domains.
 */
import {factor32, hash32} from '../chance/hash.js';
import {type DaemonRun} from './daemon-run.js';

type DomainCandidates = {
	readonly ids: readonly string[];
	readonly hashes: Int32Array;
	/** What each daemon guards: first of this service, then of others. */
	readonly guardLoads: Float64Array;
};

/** A daemon with its position; the lower burden wins, then the higher score. */
type Candidate = {
	readonly id: string;
	readonly guardLoad: number;
	readonly score: number;
};

/** More than any daemon guards elsewhere. */
const serviceGuardWeight = 2 ** 32;
const none: Candidate = {id: '', guardLoad: Infinity, score: -Infinity};

export class GuardCandidates {
	readonly #byDomain: ReadonlyMap<string, DomainCandidates>;
	readonly #positions = new Map<
		string,
		{seats: DomainCandidates; at: number}
	>();

	constructor(
		daemons: readonly DaemonRun[],
		guardsElsewhere: ReadonlyMap<string, number>,
	) {
		const ids = new Map<string, string[]>();
		for (const {id, failureDomain} of daemons) {
			ids.set(failureDomain, ids.get(failureDomain) ?? []);
			ids.get(failureDomain)!.push(id);
		}

		this.#byDomain = new Map(
			[...ids].map(([domain, own]) => [
				domain,
				candidatesOf(own, guardsElsewhere),
			]),
		);
		for (const seats of this.#byDomain.values()) {
			for (const [at, id] of seats.ids.entries()) {
				this.#positions.set(id, {seats, at});
			}
		}
	}

	/** Counts `change` more servers as guarded by the daemon, if it has a seat. */
	addGuards(id: string, change: number): void {
		const place = this.#positions.get(id);
		if (place) {
			place.seats.guardLoads[place.at] += change * serviceGuardWeight;
		}
	}

	/** The daemon with the fewest faults of its domain, then the least burden, then the highest score; empty when there is none. */
	best(
		server: string,
		but: string,
		faults: (domain: string) => number,
	): string {
		const factor = factor32(server);
		let best = none;
		for (const seats of this.#bestDomains(but, faults)) {
			best = bestOf(seats, but, factor, best);
		}

		return best.id;
	}

	/** Seats of the domains with the fewest faults, of those that have another daemon than `but`. */
	#bestDomains(
		but: string,
		faults: (domain: string) => number,
	): readonly DomainCandidates[] {
		const judged = [...this.#byDomain]
			.filter(([, {ids}]) => ids.length > 1 || ids[0] !== but)
			.map(([domain, seats]) => ({faults: faults(domain), seats}));
		const least = Math.min(...judged.map((each) => each.faults));
		return judged
			.filter((each) => each.faults === least)
			.map(({seats}) => seats);
	}
}

function candidatesOf(
	ids: readonly string[],
	guardsElsewhere: ReadonlyMap<string, number>,
): DomainCandidates {
	return {
		ids,
		hashes: Int32Array.from(ids, (id) => hash32(id)),
		guardLoads: Float64Array.from(ids, (id) => guardsElsewhere.get(id) ?? 0),
	};
}

/** The better of `known` and the best of `seats` for the server of this factor. */
function bestOf(
	{ids, hashes, guardLoads: burdens}: DomainCandidates,
	but: string,
	factor: number,
	known: Candidate,
): Candidate {
	let best = -1;
	let {guardLoad: bestBurden, score: bestScore} = known;
	const skipped = ids.indexOf(but);
	for (let at = 0; at < ids.length; at++) {
		const burden = burdens[at];
		if (burden > bestBurden || at === skipped) {
			continue;
		}

		const score = Math.imul(factor, hashes[at]);
		if (burden < bestBurden || score > bestScore) {
			best = at;
			bestBurden = burden;
			bestScore = score;
		}
	}

	return best < 0
		? known
		: {id: ids[best], guardLoad: bestBurden, score: bestScore};
}
