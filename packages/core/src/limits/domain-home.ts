/**
 * The home of one contract's limit for a group of daemons within a failure domain.
 * It keeps a ledger for its daemons and a loan at the fleet's home. Its own share
 * at the fleet's home is what its daemons lend and do not need themselves.
 *
 * Invariant: its grants plus its promise to the fleet's home never exceed what its
 * daemons have lent plus what the fleet's home has granted. While nothing is added,
 * both sides only fall. So it is enough to compare, whenever a grant or promise is
 * added, what is owed at that moment with what is still valid when the addition
 * expires.
 */
import {type Millis} from '../time/clock.js';
import {Ledger, type ParentLoan, type LedgerTotals} from './ledger.js';
import {type LevelTerms} from './levels.js';
import {
	withAnswer,
	shouldAsk,
	nextLent,
	withHome,
	withGrantsCapped,
	withPromise,
	type ReceivedAnswer,
	type Loan,
} from './loan.js';
import {type LoanAnswer, type LoanAsk} from './loan-ask.js';
import {largestPart} from './parts.js';

/** An ask to the fleet's home, and the name of that home. */
export type FleetAsk = {readonly home: string; readonly ask: LoanAsk};

/** Mutable. */
export class DomainHome {
	readonly #ledger: Ledger;
	#loan: Loan;

	/** `self` is the id of this run of the daemon. It stands in for the VM, because a later run has lent nothing of what this run has lent. */
	constructor(
		private readonly self: string,
		private readonly terms: LevelTerms,
		private readonly startedAt: Millis,
	) {
		this.#ledger = new Ledger(terms.domain);
		this.#loan = {
			home: '',
			echoReceivedAt: startedAt,
			roomy: true,
			lent: 0,
			promises: [],
			grants: [],
		};
	}

	/** Records a daemon's ask and answers it. */
	ask(ask: LoanAsk, now: Millis): LoanAnswer {
		return this.#ledger.ask(ask, now, this.#parentLoan(now));
	}

	/**
	 * The next ask to the fleet's home, where `preferred` is the home chosen now. While
	 * a promise to the previous home is valid, that home is asked for another
	 * `homeSwitchDelayMs`, and then none: the result is undefined.
	 */
	nextAsk(preferred: string, now: Millis): FleetAsk | undefined {
		this.#loan = withHome(this.#loan, preferred, now);
		const {home, echo} = this.#loan;
		if (!shouldAsk(this.#loan, now, this.terms.fleet)) {
			return undefined;
		}

		const totals = this.#ledger.totals(now);
		const vm = this.self;
		const {demand, room} = totals;
		if (echo === undefined) {
			return {home, ask: {vm, lent: 0, demand, room}};
		}

		const lent = this.#nextLent(totals, now);
		this.#loan = withPromise(this.#loan, lent, {now}, this.terms.fleet);
		const own = totals.lent - largestPart(this.#loan.promises, now);
		const shortage = Math.max(0, demand - Math.max(0, own));
		const heldBeyondOwn = Math.max(0, totals.held - own);
		const result = withGrantsCapped(
			this.#loan,
			Math.max(shortage, heldBeyondOwn),
			this.terms.fleet,
		);
		this.#loan = result.loan;
		return {home, ask: {vm, lent, demand: shortage, room, echo, ...result.ask}};
	}

	/** Records an answer of the fleet's home. An answer to an ask sent before this state was created is ignored, as it may be out of date. */
	receive(received: ReceivedAnswer): void {
		if (received.askedAt >= this.startedAt) {
			this.#loan = withAnswer(this.#loan, received, this.terms.fleet);
		}
	}

	/** Whether no daemon lends to this home or holds a grant from it. */
	isEmpty(now: Millis): boolean {
		return this.#ledger.isEmpty(now);
	}

	totals(now: Millis): LedgerTotals {
		return this.#ledger.totals(now);
	}

	/** What to lend to the fleet's home next: at most what this home will still have, when that promise expires, beyond everything granted now. */
	#nextLent({lent, held, demand}: LedgerTotals, now: Millis): number {
		const {fleet} = this.terms;
		const desired = nextLent(
			this.#loan.lent,
			{own: lent, demand, floorShare: fleet.minKeptShare},
			fleet,
		);
		const {granted} = this.#parentLoan(now);
		return Math.max(0, Math.min(desired, lent, lent + granted - held));
	}

	#parentLoan(now: Millis): ParentLoan {
		const {echo, roomy, grants, promises} = this.#loan;
		return {
			granted: largestPart(grants, now + this.terms.domain.grantMs),
			promised: largestPart(promises, now),
			roomy: echo === undefined || roomy,
		};
	}
}
