/**
 * The topology of the live daemons: the trees that distribute news, the relays that
 * watch the platform, and the ring in which each daemon is monitored by a few others.
 * It depends on the member list alone, so daemons with equal lists agree on it
 * without communicating.
 */
import {hash32, rendezvous} from '../chance/hash.js';

/** Most children of a daemon within its failure domain; a domain's head has up to as many other heads as children too. */
export const fanOut = 4;

const relaysPerDomain = 2;

/** The part of a daemon's description that the topology depends on. */
export type RosterMember = {
	readonly id: string;
	readonly failureDomain: string;
};

/** How far news is distributed: to the whole fleet, or within the root's own failure domain. */
export type NewsScope = 'fleet' | 'domain';

/** Members by failure domain, sorted by id. */
export class Roster<M extends RosterMember> {
	static of<M extends RosterMember>(members: readonly M[]): Roster<M> {
		const domains = new Map<string, M[]>();
		for (const member of members.toSorted(byId)) {
			const domain = domains.get(member.failureDomain) ?? [];
			domain.push(member);
			domains.set(member.failureDomain, domain);
		}

		const ring = members
			.map((member) => ({member, hash: hash32(member.id)}))
			.sort((a, b) => a.hash - b.hash || byId(a.member, b.member))
			.map(({member}) => member);
		return new Roster(ring, domains);
	}

	readonly #relays = new Map<string, readonly M[]>();

	private constructor(
		/** In ring order: sorted by a hash of the id, so that neighbours are mostly in different domains. */
		readonly ring: readonly M[],
		private readonly domains: ReadonlyMap<string, readonly M[]>,
	) {}

	/** The daemons that `self` forwards to in the tree of `root`; none if either is not a member. */
	children(root: string, self: string, scope: NewsScope): readonly M[] {
		const rootDomain = this.#domainOf(root);
		const domain = this.#domainOf(self);
		if (rootDomain === undefined || domain === undefined) {
			return [];
		}

		const local = childrenIn(this.#treeOrder(domain, root), self);
		if (scope === 'domain') {
			return domain === rootDomain ? local : [];
		}

		return [...childrenIn(this.#heads(rootDomain, root), self), ...local];
	}

	/** The daemon that `self` reports to in its domain's tree below `root`; undefined for the root. */
	parent(root: string, self: string): M | undefined {
		const domain = this.#domainOf(self);
		const ordered = domain === undefined ? [] : this.#treeOrder(domain, root);
		const pos = ordered.findIndex(({id}) => id === self);
		return pos > 0 ? ordered[Math.floor((pos - 1) / fanOut)] : undefined;
	}

	/** The daemons of a domain that watch the platform on its behalf, highest rendezvous score first. */
	relays(failureDomain: string): readonly M[] {
		const known = this.#relays.get(failureDomain);
		if (known) {
			return known;
		}

		const members = this.domains.get(failureDomain) ?? [];
		const ids = rendezvous(
			failureDomain,
			members.map(({id}) => id),
		).slice(0, relaysPerDomain);
		const relays = ids.map((id) => members.find((each) => each.id === id)!);
		this.#relays.set(failureDomain, relays);
		return relays;
	}

	/** Names of the domains that have members. */
	domainNames(): readonly string[] {
		return [...this.domains.keys()].toSorted();
	}

	/** The other daemons in ring order, starting after `self`. */
	after(self: string): readonly M[] {
		const pos = this.ring.findIndex(({id}) => id === self);
		return pos === -1
			? []
			: [...this.ring.slice(pos + 1), ...this.ring.slice(0, pos)];
	}

	/**
	 * The daemons at distances 1, 2, 4, 8 and so on after `self` in the ring. These are
	 * few connections to keep open, and news still reaches every daemon in as many steps.
	 */
	ringContacts(self: string): readonly M[] {
		return this.after(self).filter((_, index) => {
			const distance = index + 1;
			return Number.isInteger(Math.log2(distance));
		});
	}

	#domainOf(self: string): string | undefined {
		return this.ring.find(({id}) => id === self)?.failureDomain;
	}

	/** The head of every domain, that of the root's domain first. */
	#heads(rootDomain: string, root: string): readonly M[] {
		const others = this.domainNames().filter((name) => name !== rootDomain);
		return [rootDomain, ...others].map(
			(name) => this.#treeOrder(name, root)[0],
		);
	}

	/** A domain's members in tree order: rotated so that the root, or a head chosen by a hash of it, comes first. */
	#treeOrder(domain: string, root: string): readonly M[] {
		const members = this.domains.get(domain) ?? [];
		const rootPos = members.findIndex(({id}) => id === root);
		const pos =
			rootPos === -1 ? hash32(`${domain}\n${root}`) % members.length : rootPos;
		return [...members.slice(pos), ...members.slice(0, pos)];
	}
}

/** The children of `self` in a list of members in tree order, laid out as a heap with `fanOut` children per node. */
function childrenIn<M extends RosterMember>(
	ordered: readonly M[],
	self: string,
): readonly M[] {
	const pos = ordered.findIndex(({id}) => id === self);
	return pos === -1
		? []
		: ordered.slice(pos * fanOut + 1, pos * fanOut + 1 + fanOut);
}

function byId(a: RosterMember, b: RosterMember): number {
	return a.id < b.id ? -1 : 1;
}
