/**
 * One daemon's part in holding idempotency keys: what it was lent as a holder,
 * what it has lent as a successor, and which rows it has given up.
 *
 * A holder grants only while a loan from its successor runs. A successor takes a
 * row over only after the last loan it gave has run out. Before a holder offers a
 * change of its row to the store, it gives the row's present term up for good. So
 * nobody can grant at a term once a later one may stand in the table.
 */
import {type Millis} from '../../time/clock.js';
import {rendezvous} from '../../chance/hash.js';
import {type KeyRow, type KeyTable} from './key-table.js';

/** A daemon that may hold rows. */
export type Keeper = {readonly id: string; readonly failureDomain: string};

/** What a daemon knows when it plans changes. */
export type KeyScene = {
	readonly now: Millis;
	/** Milliseconds since the Unix epoch. */
	readonly wall: number;
	/** Daemons taken to be alive, this one included. */
	readonly members: readonly Keeper[];
	/** Whether the members have been the same for long enough to even rows out. */
	readonly settled: boolean;
	/** Whether a daemon run that was given its row at `since` is proved to have ended. */
	readonly isGone: (id: string, since: number) => boolean;
};

/** One part at one term. */
export type PartTerm = {readonly part: number; readonly term: number};

type Until = {readonly term: number; readonly until: Millis};

/** How long a loan runs, and the successor's margin on it, in ms. */
export type TenureOptions = {
	readonly loanMs: Millis;
	readonly marginMs: Millis;
};

export class KeyTenure {
	readonly #loans = new Map<number, Until>();
	/** As a successor: until when the holder may still act. */
	readonly #lent = new Map<number, Until>();
	/** Highest terms at which this daemon neither grants nor lends any more. */
	readonly #givenUp = new Map<number, number>();

	constructor(
		private readonly self: Keeper,
		private readonly options: TenureOptions,
	) {}

	/** Whether this daemon may grant keys of `part` now. */
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
	 * The rows for which this daemon asks `successor` for a loan. With `handingOn`,
	 * those too that it has given up and can't grant in: the successor does not take
	 * them over while their records are on their way.
	 */
	asks(
		table: KeyTable,
		successor: string,
		handingOn = false,
	): readonly PartTerm[] {
		return partsOf(
			table,
			(row, part) =>
				row.holder === this.self.id &&
				row.successor === successor &&
				(handingOn || !this.#hasGivenUp(part, row.term)),
		);
	}

	/** Takes up loans that were asked for at `askedAt`. */
	borrowed(loans: readonly PartTerm[], askedAt: Millis): void {
		for (const {part, term} of loans) {
			this.#loans.set(part, {term, until: askedAt + this.options.loanMs});
		}
	}

	/** Lends what `holder` asks for, as far as this daemon is the successor and has not begun to take over. */
	lend(
		table: KeyTable,
		holder: string,
		asked: readonly PartTerm[],
		now: Millis,
	): readonly PartTerm[] {
		const lent = asked.filter(({part, term}) => {
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

	/** The changed table to offer to the store, or undefined when nothing is to change. */
	plan(table: KeyTable, scene: KeyScene): KeyTable | undefined {
		let changed = false;
		const rows = table.rows.map((row, part) => {
			const next = this.#planRow(part, row, scene);
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
		scene: KeyScene,
	): Omit<KeyRow, 'term'> | undefined {
		if (row.holder === this.self.id) {
			return this.#asHolder(part, row, scene);
		}

		if (row.successor === this.self.id) {
			return this.#mayTakeOver(part, row, scene)
				? this.#held(part, this.self.id, scene)
				: undefined;
		}

		const ended =
			scene.isGone(row.holder, row.since) &&
			(row.successor === '' || scene.isGone(row.successor, row.since));
		const [planner] = rendezvous('key-table', idsOf(scene.members));
		return ended && planner === this.self.id
			? this.#held(part, wanted(part, scene.members), scene)
			: undefined;
	}

	#asHolder(
		part: number,
		row: KeyRow,
		scene: KeyScene,
	): Omit<KeyRow, 'term'> | undefined {
		const {members, settled} = scene;
		const holder = wanted(part, members);
		if (settled && holder !== this.self.id) {
			return this.#held(part, holder, scene);
		}

		const alone = members.length < 2;
		const hasSuccessor = members.some(({id}) => id === row.successor);
		const retry = this.#hasGivenUp(part, row.term);
		return retry || (!hasSuccessor && !alone)
			? {...this.#held(part, this.self.id, scene), since: row.since}
			: undefined;
	}

	#mayTakeOver(part: number, row: KeyRow, {now}: KeyScene): boolean {
		const lent = this.#lent.get(part);
		if (lent?.term !== row.term) {
			this.#lent.set(part, {term: row.term, until: this.#loanEnd(now)});
			return false;
		}

		return now > lent.until;
	}

	#held(
		part: number,
		holder: string,
		{members, wall}: KeyScene,
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

/** The first table, spread over `members`. */
export function firstKeyTable(
	parts: number,
	members: readonly Keeper[],
	wall: number,
): KeyTable {
	const rows = Array.from({length: parts}, (_, part): KeyRow => {
		const holder = wanted(part, members);
		const successor = successorOf(part, holder, members);
		return {holder, successor, term: 1, since: wall};
	});
	return {rows};
}

function wanted(part: number, members: readonly Keeper[]): string {
	return rendezvous(`key-holder-${part}`, idsOf(members))[0];
}

/** Another daemon, in another failure domain if there is one; empty if there is none. */
function successorOf(
	part: number,
	holder: string,
	members: readonly Keeper[],
): string {
	const domain = members.find(({id}) => id === holder)?.failureDomain;
	const others = members.filter(({id}) => id !== holder);
	const elsewhere = others.filter(
		({failureDomain}) => failureDomain !== domain,
	);
	const choice = elsewhere.length > 0 ? elsewhere : others;
	return rendezvous(`key-successor-${part}`, idsOf(choice))[0] ?? '';
}

function idsOf(members: readonly Keeper[]): readonly string[] {
	return members.map(({id}) => id);
}

function partsOf(
	{rows}: KeyTable,
	holds: (row: KeyRow, part: number) => boolean,
): readonly PartTerm[] {
	return rows.flatMap((row, part) =>
		holds(row, part) ? [{part, term: row.term}] : [],
	);
}
