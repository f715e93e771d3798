/**
 * What one daemon knows about the fleet's daemons: an account (status record) of
 * each, and the ids proved gone. Accounts can be merged in any order with the same
 * result: of two accounts of a daemon, the one with the higher count wins. If the
 * counts are equal, the one that marks it as out wins, then the one that marks it
 * as leaving. A daemon that is proved gone never comes back.
 */
import {hash32} from '../chance/hash.js';

/** Number of gone ids that are remembered: a few days' worth if 1,000 daemons are replaced per day. */
const maxGone = 4000;

/** One daemon run. */
export type Member = {
	/** VM and incarnation, such as vm-1.k2f9x0; never reused. */
	readonly id: string;
	readonly vm: string;
	readonly failureDomain: string;
	/** Host and port of the mesh listener. */
	readonly address: string;
};

/** The status of one daemon, as the fleet sees it. */
export type Account = {
	readonly member: Member;
	/** Increases with every change of `out` or `leaving`. */
	readonly count: number;
	/** Several daemons found it silent; it is not proved gone. */
	readonly out: boolean;
	/** The platform lists its VM as leaving. */
	readonly leaving: boolean;
};

/** The initial account of a daemon that has just been discovered. */
export function initialAccount(member: Member): Account {
	return {member, count: 0, out: false, leaving: false};
}

/** A hash over the accounts of one failure domain. */
export type DomainDigest = {
	readonly failureDomain: string;
	readonly digest: number;
};

/** Accounts by id, and the ids proved gone. */
export class Membership {
	static readonly empty = new Membership(new Map(), new Set());

	#all: readonly Account[] | undefined;
	#digests: readonly DomainDigest[] | undefined;

	private constructor(
		private readonly accounts: ReadonlyMap<string, Account>,
		readonly gone: ReadonlySet<string>,
	) {}

	/** Merges received accounts and gone ids; returns this same object if nothing is new. */
	with(
		accounts: readonly Account[],
		goneIds: readonly string[] = [],
	): Membership {
		const gone = this.#withGone(goneIds);
		const fresh = accounts.filter(
			(account) => !gone.has(account.member.id) && this.#isNewer(account),
		);
		if (gone === this.gone && fresh.length === 0) {
			return this;
		}

		const next = new Map(this.accounts);
		for (const account of fresh) {
			const known = next.get(account.member.id);
			if (!known || supersedes(account, known)) {
				next.set(account.member.id, account);
			}
		}

		for (const id of goneIds) {
			next.delete(id);
		}

		return new Membership(next, gone);
	}

	/** With a known daemon marked as out or not; its count increases if that is a change. */
	markedOut(id: string, out: boolean): Membership {
		const known = this.accounts.get(id);
		return known && known.out !== out
			? this.with([{...known, out, count: known.count + 1}])
			: this;
	}

	/** With a known daemon marked as leaving or not, as the platform now lists its VM. */
	markedLeaving(id: string, leaving: boolean): Membership {
		const known = this.accounts.get(id);
		return known && known.leaving !== leaving
			? this.with([{...known, leaving, count: known.count + 1}])
			: this;
	}

	get(id: string): Account | undefined {
		return this.accounts.get(id);
	}

	/** All accounts, sorted by id. */
	all(): readonly Account[] {
		this.#all ??= [...this.accounts.values()].sort((a, b) =>
			a.member.id < b.member.id ? -1 : 1,
		);
		return this.#all;
	}

	/** Daemons that are considered alive, sorted by id. */
	live(): readonly Member[] {
		return this.all()
			.filter(({out}) => !out)
			.map(({member}) => member);
	}

	/** Ids of the other daemon runs on the VM of a live run; none if that run is itself proved gone. */
	otherRunsOnVm({id, vm}: Member): readonly string[] {
		return this.gone.has(id)
			? []
			: this.all()
					.filter(({member}) => member.vm === vm && member.id !== id)
					.map(({member}) => member.id);
	}

	/**
	 * One digest per failure domain that has accounts, sorted by name. Equal accounts
	 * give equal digests; gone daemons are not part of them.
	 */
	digests(): readonly DomainDigest[] {
		this.#digests ??= digestsOf(this.all());
		return this.#digests;
	}

	/** Whether the digests of another daemon match these accounts. */
	equals(others: readonly DomainDigest[]): boolean {
		return (
			others.length === this.digests().length &&
			this.differingFrom(others).length === 0
		);
	}

	/** The accounts of all domains whose digest is missing or different in `others`. */
	differingFrom(others: readonly DomainDigest[]): readonly Account[] {
		const equal = new Set(
			this.digests()
				.filter(({failureDomain, digest}) =>
					others.some(
						(other) =>
							other.failureDomain === failureDomain && other.digest === digest,
					),
				)
				.map(({failureDomain}) => failureDomain),
		);
		return this.all().filter(({member}) => !equal.has(member.failureDomain));
	}

	#isNewer(account: Account): boolean {
		const known = this.accounts.get(account.member.id);
		return !known || supersedes(account, known);
	}

	#withGone(ids: readonly string[]): ReadonlySet<string> {
		const fresh = ids.filter((id) => !this.gone.has(id));
		return fresh.length === 0
			? this.gone
			: new Set([...this.gone, ...fresh].slice(-maxGone));
	}
}

function supersedes(a: Account, b: Account): boolean {
	return (
		a.count > b.count || (a.count === b.count && severityOf(a) > severityOf(b))
	);
}

function severityOf({out, leaving}: Account): number {
	return (out ? 2 : 0) + (leaving ? 1 : 0);
}

function digestsOf(accounts: readonly Account[]): readonly DomainDigest[] {
	const lines = new Map<string, string[]>();
	for (const {member, count, out, leaving} of accounts) {
		const line = `${member.id} ${count} ${out ? 1 : 0} ${leaving ? 1 : 0}`;
		const domain = lines.get(member.failureDomain);
		if (domain) {
			domain.push(line);
		} else {
			lines.set(member.failureDomain, [line]);
		}
	}

	return [...lines.keys()].toSorted().map((failureDomain) => ({
		failureDomain,
		digest: hash32(lines.get(failureDomain)!.join('\n')),
	}));
}
