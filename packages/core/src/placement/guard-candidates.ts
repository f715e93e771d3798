/**
 * The daemons that may become guardian or successor of a server, by failure domain:
 * rules are evaluated once per domain, and ids are hashed once per plan. The data is
 * kept in typed arrays, since each choice looks at every daemon of several domains.
 */
import {factor32, hash32} from '../chance/hash.js';
import {type DaemonRun} from './daemon-run.js';

/** The daemons of one failure domain; the arrays run parallel. */
type DomainCandidates = {
	readonly ids: readonly string[];
	readonly hashes: Int32Array;
	/** Guard load of each daemon: servers of this service times `serviceGuardWeight`, plus servers of other services. */
	readonly guardLoads: Float64Array;
};

/** A daemon and how it compares: the lower guard load wins, then the higher rendezvous score. */
type Candidate = {
	readonly id: string;
	readonly guardLoad: number;
	readonly score: number;
};

/** More than the number of servers of other services that any daemon guards, so that this service counts first. */
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
		for (const candidates of this.#byDomain.values()) {
			for (const [index, id] of candidates.ids.entries()) {
				this.#positions.set(id, {seats: candidates, at: index});
			}
		}
	}

	/** Adds `change` servers of this service to the daemon's guard load, if the daemon is a candidate. */
	addGuards(id: string, change: number): void {
		const position = this.#positions.get(id);
		if (position) {
			position.seats.guardLoads[position.at] += change * serviceGuardWeight;
		}
	}

	/**
	 * The id of the daemon other than `excluded` with the lowest penalty of its domain,
	 * then the lowest guard load, then the highest rendezvous score for `server`; empty if
	 * there is none.
	 */
	best(
		server: string,
		excluded: string,
		penalty: (domain: string) => number,
	): string {
		const factor = factor32(server);
		let best = none;
		for (const candidates of this.#bestDomains(excluded, penalty)) {
			best = bestOf(candidates, excluded, factor, best);
		}

		return best.id;
	}

	/** The candidates of the domains with the lowest penalty, among domains that have a daemon other than `excluded`. */
	#bestDomains(
		excluded: string,
		penalty: (domain: string) => number,
	): readonly DomainCandidates[] {
		const rated = [...this.#byDomain]
			.filter(([, {ids}]) => ids.length > 1 || ids[0] !== excluded)
			.map(([domain, candidates]) => ({
				penalty: penalty(domain),
				seats: candidates,
			}));
		const lowest = Math.min(...rated.map((each) => each.penalty));
		return rated
			.filter((each) => each.penalty === lowest)
			.map(({seats: candidates}) => candidates);
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

/** The better of `bestSoFar` and the best candidate of one domain, for the server with this hash factor. */
function bestOf(
	{ids, hashes, guardLoads}: DomainCandidates,
	excluded: string,
	factor: number,
	bestSoFar: Candidate,
): Candidate {
	let bestIndex = -1;
	let {guardLoad: bestLoad, score: bestScore} = bestSoFar;
	const excludedIndex = ids.indexOf(excluded);
	for (let index = 0; index < ids.length; index++) {
		const load = guardLoads[index];
		if (load > bestLoad || index === excludedIndex) {
			continue;
		}

		const score = Math.imul(factor, hashes[index]);
		if (load < bestLoad || score > bestScore) {
			bestIndex = index;
			bestLoad = load;
			bestScore = score;
		}
	}

	return bestIndex < 0
		? bestSoFar
		: {id: ids[bestIndex], guardLoad: bestLoad, score: bestScore};
}
