/**
 * The accounts of one contract's limit at its home: the home records the shares
 * that daemons lend and grants them to daemons with demand. Shares are fractions of
 * the limit.
 *
 * Every grant is backed by loans. A grant made at time h expires by h + grantMs, and
 * a loan backs it only if the lender has promised not to use that share until then.
 * The promise is counted from a reading of this home's clock that the lender echoes.
 * So it expires here before it expires at the lender, however late messages arrive.
 *
 * The sums are updated with each ask, in whole units so that they stay exact.
 * Expired grants and promises are subtracted in the order of expiry. So an ask costs
 * nearly the same for any number of lenders.
 */
import {type Millis} from '../time/clock.js';
import {Deadlines} from '../time/deadlines.js';
import {demandOf, DemandHistogram, gradeOf} from './demands.js';
import {type LoanAnswer, type LoanAsk} from './loan-ask.js';
import {
	capped,
	largestPart,
	unexpired,
	withPart,
	type TimedParts,
} from './parts.js';
import {type LoanTerms} from './terms.js';

/** What a home has borrowed from its parent, the home of the level above, and has lent to it. Shares are fractions of the limit. */
export type ParentLoan = {
	/** Granted by the parent, for at least as long as a grant made now lasts. */
	readonly granted: number;
	/** Lent to the parent, with a promise not to use it. */
	readonly promised: number;
	/** Whether no daemon is short, by the parent's last answer. */
	readonly roomy: boolean;
};

/** The sums over all lenders of a home, as fractions of the limit. */
export type LedgerTotals = {
	/** Lent for long enough to back a grant. */
	readonly lent: number;
	/** Granted and not yet expired. */
	readonly held: number;
	/** What the lenders could use beyond their own shares. */
	readonly demand: number;
	/** What would be left of the lenders' own shares if each kept as much as it does while no daemon is short. */
	readonly room: number;
};

/** One lender's account; its parts are in whole units. */
type Account = {
	/** A later ask may lend less, but the earlier promises remain valid. */
	readonly promises: TimedParts;
	readonly grants: TimedParts;
	readonly grade: number;
	readonly room: number;
	/** What this account adds to the sums. */
	readonly contribution: Contribution;
	/** The earliest time at which `contribution` may have to change. */
	readonly recheckAt: Millis;
};

type Contribution = {
	/** Lent until the horizon or longer; absent if no promise lasts that long. */
	readonly lent?: number;
	readonly held: number;
	readonly grade: number;
	readonly room: number;
};

const unitsPerLimit = 2 ** 40;

const emptyAccount: Account = {
	promises: [],
	grants: [],
	grade: 0,
	room: 0,
	contribution: {held: 0, grade: 0, room: 0},
	recheckAt: Number.POSITIVE_INFINITY,
};

/** Mutable: each ask, and each expiry of a promise or grant, replaces one account. */
export class Ledger {
	readonly #accounts = new Map<string, Account>();
	readonly #deadlines = new Deadlines();
	readonly #demands = new DemandHistogram();
	#lent = 0;
	#held = 0;
	#room = 0;

	/** How much longer a loan must last to count. */
	readonly #horizonMs: Millis;

	constructor(private readonly terms: LoanTerms) {
		this.#horizonMs = terms.grantMs + terms.relendMs;
	}

	/** Records an ask and answers it. `now` never decreases. `parent` is absent where this home has no parent. */
	ask(ask: LoanAsk, now: Millis, parent?: ParentLoan): LoanAnswer {
		this.#expire(now);
		const {vm, lent, demand, room} = ask;
		const account = this.#accounts.get(vm) ?? emptyAccount;
		const until = this.#promiseEnd(ask, now);
		const promise = {part: Math.floor(lent * unitsPerLimit), until};
		const asked: Account = {
			...account,
			promises: withPart(account.promises, promise),
			grants: this.#cappedGrants(account.grants, ask),
			grade: gradeOf(demand),
			room: Math.round(room * unitsPerLimit),
		};
		const updated = this.#update(vm, asked, now);
		const part = this.#grantTo(updated.contribution, parent);
		const grant = {part, until: now + this.terms.grantMs};
		const grants = withPart(updated.grants, grant);
		this.#update(vm, {...updated, grants}, now);
		const roomy = parent?.roomy ?? this.#room >= 0;
		return {reading: now, granted: part / unitsPerLimit, roomy};
	}

	/** The sum of all grants that may still be in use. */
	outstanding(now: Millis): number {
		return this.totals(now).held;
	}

	totals(now: Millis): LedgerTotals {
		this.#expire(now);
		return {
			lent: this.#lent / unitsPerLimit,
			held: this.#held / unitsPerLimit,
			demand: this.#demands.total(),
			room: this.#room / unitsPerLimit,
		};
	}

	/** Whether no lender has a loan or a grant. */
	isEmpty(now: Millis): boolean {
		this.#expire(now);
		return this.#accounts.size === 0;
	}

	#grantTo({lent, held, grade}: Contribution, parent?: ParentLoan): number {
		if (lent === undefined) {
			return 0;
		}

		const pool = this.#pool(parent);
		const {level, remainder} = this.#demands.divide(pool / unitsPerLimit);
		const evenPart =
			(remainder * this.terms.evenGrantShare) / this.#demands.count;
		const demanded = Math.min(demandOf(grade), level);
		const target = (demanded + evenPart) * unitsPerLimit;
		const left = pool - (this.#held - held);
		return Math.floor(Math.max(0, Math.min(target, left)));
	}

	/** The total that may be granted. */
	#pool(parent?: ParentLoan): number {
		const {granted, promised} = parent ?? {granted: 0, promised: 0};
		const fromParent = Math.floor(granted * unitsPerLimit);
		const lentToParent = Math.ceil(promised * unitsPerLimit);
		return Math.max(0, this.#lent + fromParent - lentToParent);
	}

	/** Until when this home can rely on a promise. It is counted from the echo, and shortened by the clock drift. */
	#promiseEnd({echo, idle}: LoanAsk, now: Millis): Millis {
		const {promiseMs, idleMs, maxDrift} = this.terms;
		const durationMs = promiseMs + (idle ? idleMs : 0);
		return echo === undefined ? now : echo + durationMs * (1 - maxDrift);
	}

	/** The grants, capped to what the lender keeps. A grant made after the echo may still be on its way, so it remains as it is. */
	#cappedGrants(grants: TimedParts, {echo, keeps}: LoanAsk): TimedParts {
		if (echo === undefined || keeps === undefined) {
			return grants;
		}

		const cap = Math.ceil(keeps * unitsPerLimit);
		return capped(grants, cap, echo + this.terms.grantMs);
	}

	/** Subtracts expired promises and grants from the sums. */
	#expire(now: Millis): void {
		for (const {name, at} of this.#deadlines.takeDue(now)) {
			const account = this.#accounts.get(name);
			if (account?.recheckAt === at) {
				const recheckAt = Number.POSITIVE_INFINITY;
				this.#dropIfEmpty(
					name,
					this.#update(name, {...account, recheckAt}, now),
				);
			}
		}
	}

	/** Drops an account whose promises and grants have all expired. */
	#dropIfEmpty(vm: string, {promises, grants, contribution}: Account): void {
		if (promises.length === 0 && grants.length === 0) {
			this.#replaceContribution(contribution, emptyAccount.contribution);
			this.#accounts.delete(vm);
		}
	}

	/** Removes what has expired from an account, updates the sums to match, and schedules the next check. */
	#update(vm: string, account: Account, now: Millis): Account {
		const promises = unexpired(account.promises, now);
		const grants = unexpired(account.grants, now);
		const [backing] = unexpired(promises, now + this.#horizonMs);
		const {grade, room} = account;
		const held = largestPart(grants, now);
		const contribution = {lent: backing?.part, held, grade, room};
		this.#replaceContribution(account.contribution, contribution);
		const expiries = [
			backing ? backing.until - this.#horizonMs : promises.at(-1)?.until,
			grants.at(0)?.until,
		];
		const nextExpiry = Math.min(...expiries.filter((at) => at !== undefined));
		const recheckAt = Math.min(account.recheckAt, nextExpiry);
		if (recheckAt < account.recheckAt) {
			this.#deadlines.add({name: vm, at: recheckAt});
		}

		const updated = {...account, promises, grants, contribution, recheckAt};
		this.#accounts.set(vm, updated);
		return updated;
	}

	#replaceContribution(from: Contribution, to: Contribution): void {
		if (from.lent !== undefined) {
			this.#demands.remove(from.grade);
		}

		if (to.lent !== undefined) {
			this.#demands.add(to.grade);
		}

		this.#lent += (to.lent ?? 0) - (from.lent ?? 0);
		this.#held += to.held - from.held;
		this.#room += to.room - from.room;
	}
}
