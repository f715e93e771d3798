/**
 * Chooses the homes of contracts' limits: the daemons that divide a limit among
 * the others. The choice follows from the member list alone, so daemons with equal
 * lists agree without messages. While lists differ, the lenders' promises keep the
 * sum of all shares within the limit.
 *
 * Above `maxSingleLevelSize` daemons, each failure domain is divided into groups of
 * equal size. A daemon keeps its group while the number of groups stays the same
 * and no group that it ranks higher has lost a member.
 */
import {hash32, rendezvous} from '../chance/hash.js';
import {type RosterMember} from '../fleet/roster.js';
import {type Millis} from '../time/clock.js';
import {type Level} from './levels.js';
import {type LoanTerms} from './terms.js';

/** The home of a contract's limit, and the level at which it is asked. */
export type HomeAtLevel<M extends RosterMember> = {
	readonly home: M;
	readonly level: Level;
};

/** The most daemons in a fleet with a single level of homes. */
const maxSingleLevelSize = 66;

/**
 * The most daemons that ask one home, and the most asks per second that a home of
 * a failure domain or of the fleet receives for one contract.
 */
export const maxFanIn = 66;

const maxSingleLevelHomes = 16;
const maxFleetHomes = 66;

/** Whether a fleet of `known` daemons has a single level. */
function hasSingleLevel(known: number): boolean {
	return known <= maxSingleLevelSize;
}

/**
 * Whether loans in a fleet of `known` daemons may have been made on the longer
 * terms of a large fleet. That includes a fleet that may have shrunk below the
 * large size a moment ago.
 */
export function mayHaveBeenLarge(known: number): boolean {
	return known > (maxSingleLevelSize * 2) / 3;
}

/** The time between two asks of one caller, where `callers` ask the same home: it receives at most `maxFanIn` asks per second. */
export function askIntervalMs(callers: number, {askMs}: LoanTerms): Millis {
	return askMs * Math.max(1, callers / maxFanIn);
}

export class Homes<M extends RosterMember> {
	/**
	 * `known` is the number of daemons not proved gone, `members` are those believed
	 * alive, and `eligible` are the members that may be homes. A group without an
	 * eligible member chooses its homes from all of its members.
	 */
	static of<M extends RosterMember>(
		members: readonly M[],
		known: number,
		eligible: readonly M[] = members,
	): Homes<M> {
		const byId = new Map(members.map((member) => [member.id, member]));
		const domains = hasSingleLevel(known) ? new Map() : domainsOf(members);
		return new Homes(byId, domains, new Set(eligible.map(({id}) => id)));
	}

	/** The number of groups; 0 where there is a single level. */
	readonly groupCount: number;
	readonly #topIds: readonly string[];
	/** Groups by the ids of their members; a domain's groups are computed on first use. */
	readonly #groups = new Map<string, readonly string[]>();
	readonly #homes = new Map<string, HomeAtLevel<M> | undefined>();

	private constructor(
		private readonly byId: ReadonlyMap<string, M>,
		/** Member ids by failure domain; empty where there is a single level. */
		private readonly domains: ReadonlyMap<string, readonly string[]>,
		private readonly eligible: ReadonlySet<string>,
	) {
		const maxTopHomes = domains.size > 0 ? maxFleetHomes : maxSingleLevelHomes;
		this.#topIds = rendezvous(
			'homes',
			this.#eligibleOf([...byId.keys()]),
		).slice(0, maxTopHomes);
		this.groupCount = sum(
			[...domains.values()].map((ids) => groupCountOf(ids)),
		);
	}

	/** The home that the daemon `self` asks about a customer's contract; undefined if `self` is not a member. */
	homeOf(customer: string, self: string): HomeAtLevel<M> | undefined {
		return this.groupCount === 0
			? this.#homeAt(customer, 'single', this.#topIds)
			: this.#homeAt(customer, 'domain', this.#groupOf(self));
	}

	/** The home that a domain's home asks; undefined where there is a single level. */
	fleetHome(customer: string): HomeAtLevel<M> | undefined {
		return this.groupCount === 0
			? undefined
			: this.#homeAt(customer, 'fleet', this.#topIds);
	}

	/** The number of daemons in the group of `self`. */
	groupSize(self: string): number {
		return this.#groupOf(self).length;
	}

	#groupOf(self: string): readonly string[] {
		if (!this.#groups.has(self)) {
			const domain = this.byId.get(self)?.failureDomain ?? '';
			const ids = this.domains.get(domain) ?? [];
			for (const group of groupsOf(domain, ids)) {
				for (const id of group) {
					this.#groups.set(id, group);
				}
			}
		}

		return this.#groups.get(self) ?? [];
	}

	#eligibleOf(ids: readonly string[]): readonly string[] {
		const eligible = ids.filter((id) => this.eligible.has(id));
		return eligible.length > 0 ? eligible : ids;
	}

	#homeAt(
		customer: string,
		level: Level,
		ids: readonly string[],
	): HomeAtLevel<M> | undefined {
		const key = `${level} ${ids[0]} ${customer}`;
		if (!this.#homes.has(key)) {
			const [first] = rendezvous(customer, this.#eligibleOf(ids));
			const home = this.byId.get(first);
			this.#homes.set(key, home && {home, level});
		}

		return this.#homes.get(key);
	}
}

function domainsOf(
	members: readonly RosterMember[],
): ReadonlyMap<string, readonly string[]> {
	const domains = new Map<string, string[]>();
	for (const {id, failureDomain} of members) {
		const ids = domains.get(failureDomain) ?? [];
		ids.push(id);
		domains.set(failureDomain, ids);
	}

	return domains;
}

function groupCountOf(ids: readonly string[]): number {
	return Math.ceil(ids.length / maxFanIn);
}

/** Divides the ids of one domain into groups of at most `maxFanIn`. Each id goes to the group it ranks highest, by rendezvous hashing, that has room. */
function groupsOf(
	domain: string,
	ids: readonly string[],
): ReadonlyArray<readonly string[]> {
	const count = groupCountOf(ids);
	const size = Math.ceil(ids.length / count);
	const groups = Array.from({length: count}, (): string[] => []);
	const names = groups.map((_, index) => `${domain}/${index}`);
	const ordered = ids.toSorted(
		(a, b) => hash32(a) - hash32(b) || (a < b ? -1 : 1),
	);
	for (const id of ordered) {
		const name = rendezvous(id, names).find(
			(candidate) => groups[names.indexOf(candidate)].length < size,
		);
		groups[names.indexOf(name!)].push(id);
	}

	return groups;
}

function sum(counts: readonly number[]): number {
	let total = 0;
	for (const count of counts) {
		total += count;
	}

	return total;
}
