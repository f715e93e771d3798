/**
 * One daemon's state as a holder of idempotency keys: the loans that it received as a
 * holder, those that it gave as a successor, and the rows that it has given up.
 *
 * A loan is a lease on the right to grant keys. A holder grants only while a loan from
 * its successor is valid. A successor takes over a row only after the last loan that it
 * gave has expired. Before a holder offers a change of its row to the store, it gives up
 * the row's present term for good. So no daemon can grant at a term once the table may
 * contain a later one.
 */
import {type Millis} from '../../time/clock.js';
import {rendezvous} from '../../chance/hash.js';
import {type KeyRow, type KeyTable} from './key-table.js';

/** A daemon that may hold rows. */
export type KeyDaemon = {readonly id: string; readonly failureDomain: string};

/** The circumstances when a daemon plans changes of the table. */
export type KeyPlanContext = {
	readonly now: Millis;
	/** Wall-clock time, in ms since the Unix epoch. */
	readonly wall: number;
	/** Daemons believed to be alive, including this one. */
	readonly members: readonly KeyDaemon[];
	/** Whether the members have been unchanged for long enough to rebalance rows. */
	readonly settled: boolean;
	/** Whether a daemon run that got its row at `since` is proved to have ended. */
	readonly isGone: (id: string, since: number) => boolean;
};

/** One part at one term. */
export type PartTerm = {readonly part: number; readonly term: number};

type Loan = {readonly term: number; readonly until: Millis};

/** How long a loan is valid, and how much longer the successor waits, in ms. */
export type TenureOptions = {
	readonly loanMs: Millis;
	readonly marginMs: Millis;
};

export class KeyTenure {
	/** As a holder: the loans received, by part. */
	readonly #loans = new Map<number, Loan>();
	/** As a successor: until when the holder may still grant keys, by part. */
	readonly #lent = new Map<number, Loan>();
	/** By part, the highest term at which this daemon no longer grants or lends. */
	readonly #givenUp = new Map<number, number>();

	constructor(
		private readonly self: KeyDaemon,
		private readonly options: TenureOptions,
	) {}

	/** Whether this daemon may grant keys of `part` at present. */
	mayGrant(table: KeyTable, part: number, now: Millis): boolean {
		const row = table.rows[part];
		if (row?.holder !== this.self.id || this.#hasGivenUp(part, row.term)) {
			return false;
		}

		const loan = this.#loans.get(part);
		return (
			row.successor === '' || (loan?.term === row.term && now < loan.until)
		);
	}

	/**
	 * The rows for which this daemon asks `successor` for a loan. With `includeGivenUp`,
	 * these include the rows that it has given up and can't grant in: the loan keeps the
	 * successor from taking them over while their records are being transferred.
	 */
	asks(
		table: KeyTable,
		successor: string,
		includeGivenUp = false,
	): readonly PartTerm[] {
		return partTermsOf(
			table,
			(row, part) =>
				row.holder === this.self.id &&
				row.successor === successor &&
				(includeGivenUp || !this.#hasGivenUp(part, row.term)),
		);
	}

	/** Records loans that were requested at `askedAt`; they run from then. */
	addLoans(loans: readonly PartTerm[], askedAt: Millis): void {
		for (const {part, term} of loans) {
			this.#loans.set(part, {term, until: askedAt + this.options.loanMs});
		}
	}

	/** Gives `holder` the requested loans for the rows of which this daemon is the successor and has not begun to take over. */
	lend(
		table: KeyTable,
		holder: string,
		requested: readonly PartTerm[],
		now: Millis,
	): readonly PartTerm[] {
		const lent = requested.filter(({part, term}) => {
			const row = table.rows[part];
			return (
				row?.term === term &&
				row.holder === holder &&
				row.successor === this.self.id &&
				!this.#hasGivenUp(part, term)
			);
		});
		for (const {part, term} of lent) {
			this.#lent.set(part, {term, until: this.#loanEnd(now)});
		}

		return lent;
	}

	/** The changed table to offer to the store, or undefined if there is no change. */
	plan(table: KeyTable, context: KeyPlanContext): KeyTable | undefined {
		let changed = false;
		const rows = table.rows.map((row, part) => {
			const next = this.#planRow(part, row, context);
			if (!next) {
				return row;
			}

			changed = true;
			this.#givenUp.set(part, row.term);
			return {...next, term: row.term + 1};
		});
		return changed ? {rows} : undefined;
	}

	#planRow(
		part: number,
		row: KeyRow,
		context: KeyPlanContext,
	): Omit<KeyRow, 'term'> | undefined {
		if (row.holder === this.self.id) {
			return this.#planAsHolder(part, row, context);
		}

		if (row.successor === this.self.id) {
			return this.#mayTakeOver(part, row, context)
				? this.#newRow(part, this.self.id, context)
				: undefined;
		}

		const bothEnded =
			context.isGone(row.holder, row.since) &&
			(row.successor === '' || context.isGone(row.successor, row.since));
		const [planner] = rendezvous('key-table', idsOf(context.members));
		return bothEnded && planner === this.self.id
			? this.#newRow(part, preferredHolder(part, context.members), context)
			: undefined;
	}

	#planAsHolder(
		part: number,
		row: KeyRow,
		context: KeyPlanContext,
	): Omit<KeyRow, 'term'> | undefined {
		const {members, settled} = context;
		const holder = preferredHolder(part, members);
		if (settled && holder !== this.self.id) {
			return this.#newRow(part, holder, context);
		}

		const isAlone = members.length < 2;
		const hasSuccessor = members.some(({id}) => id === row.successor);
		const isRetry = this.#hasGivenUp(part, row.term);
		return isRetry || (!hasSuccessor && !isAlone)
			? {...this.#newRow(part, this.self.id, context), since: row.since}
			: undefined;
	}

	#mayTakeOver(part: number, row: KeyRow, {now}: KeyPlanContext): boolean {
		const lent = this.#lent.get(part);
		if (lent?.term !== row.term) {
			this.#lent.set(part, {term: row.term, until: this.#loanEnd(now)});
			return false;
		}

		return now > lent.until;
	}

	#newRow(
		part: number,
		holder: string,
		{members, wall}: KeyPlanContext,
	): Omit<KeyRow, 'term'> {
		return {
			holder,
			successor: successorOf(part, holder, members),
			since: wall,
		};
	}

	#loanEnd(now: Millis): Millis {
		return now + this.options.loanMs + this.options.marginMs;
	}

	#hasGivenUp(part: number, term: number): boolean {
		return (this.#givenUp.get(part) ?? 0) >= term;
	}
}

/** The initial table, with its parts spread over `members`. */
export function initialKeyTable(
	parts: number,
	members: readonly KeyDaemon[],
	wall: number,
): KeyTable {
	const rows = Array.from({length: parts}, (_, part): KeyRow => {
		const holder = preferredHolder(part, members);
		const successor = successorOf(part, holder, members);
		return {holder, successor, term: 1, since: wall};
	});
	return {rows};
}

function preferredHolder(part: number, members: readonly KeyDaemon[]): string {
	return rendezvous(`key-holder-${part}`, idsOf(members))[0];
}

/** Picks another daemon, in another failure domain if possible; empty if there is none. */
function successorOf(
	part: number,
	holder: string,
	members: readonly KeyDaemon[],
): string {
	const domain = members.find(({id}) => id === holder)?.failureDomain;
	const others = members.filter(({id}) => id !== holder);
	const inOtherDomains = others.filter(
		({failureDomain}) => failureDomain !== domain,
	);
	const candidates = inOtherDomains.length > 0 ? inOtherDomains : others;
	return rendezvous(`key-successor-${part}`, idsOf(candidates))[0] ?? '';
}

function idsOf(members: readonly KeyDaemon[]): readonly string[] {
	return members.map(({id}) => id);
}

function partTermsOf(
	{rows}: KeyTable,
	matches: (row: KeyRow, part: number) => boolean,
): readonly PartTerm[] {
	return rows.flatMap((row, part) =>
		matches(row, part) ? [{part, term: row.term}] : [],
	);
}
