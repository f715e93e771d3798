/**
 * Standbys: in another failure domain than the owner and guarded from another, so
 * that the domain's loss leaves a guardian that can grant; apart from a planned next
 * owner too where that can be had; and spread, so that one loss burdens many a little.
 */
import {type SliceRow} from '../ownership/slice-table.js';
import {type GuardianDomains} from './guard-domains.js';
import {type StandbyReason} from './change.js';
import {type Draft} from './draft.js';
import {Ranking} from './ranking.js';
import {inParts, type Steps} from './steps.js';

const spreadFactor = 2;

/** Rows worked out in one part. */
const partLen = 128;

/** Gives every row a fit standby where there is one, and then spreads those that stand by for too many. */
export function* planStandbys(
	draft: Draft,
	guards: GuardianDomains,
): Steps<void> {
	const uses = new StandbyCounts(draft.rows);
	const choices = new StandbyChoices(draft, guards);
	for (const reasonFor of [reasonToChange, reasonToSpread]) {
		yield* inParts(draft.rows.keys(), partLen, (slice) => {
			const reason = reasonFor(draft, draft.rows[slice], choices, uses);
			if (reason) {
				replaceStandby(draft, slice, reason, {uses, choices});
			}
		});
	}
}

function replaceStandby(
	draft: Draft,
	slice: number,
	reason: StandbyReason,
	{
		uses,
		choices,
	}: {readonly uses: StandbyCounts; readonly choices: StandbyChoices},
): void {
	const row = draft.rows[slice];
	const standby = chooseStandby(draft, slice, uses, choices);
	if (standby !== undefined && standby !== row.standby) {
		uses.move(plannedOwner(row), row.standby, standby);
		draft.change(
			slice,
			{...row, standby},
			{
				kind: 'standby',
				slice,
				from: row.standby,
				to: standby,
				reason,
				sameDomain: !draft.pool.areInDifferentDomains(standby, row.owner),
			},
		);
	}
}

/** How many rows of each owner to be each standby stands by for. */
class StandbyCounts {
	readonly #counts = new Map<string, Map<string, number>>();

	constructor(rows: readonly SliceRow[]) {
		for (const row of rows) {
			this.#add(plannedOwner(row), row.standby, 1);
		}
	}

	count(owner: string, standby: string): number {
		return this.byStandby(owner).get(standby) ?? 0;
	}

	/** The same for one owner to be, by standby. */
	byStandby(owner: string): ReadonlyMap<string, number> {
		return this.#counts.get(owner) ?? noCounts;
	}

	/** Rows that the owner to be has. */
	total(owner: string): number {
		let total = 0;
		for (const count of this.#counts.get(owner)?.values() ?? []) {
			total += count;
		}

		return total;
	}

	move(owner: string, from: string, to: string): void {
		this.#add(owner, from, -1);
		this.#add(owner, to, 1);
	}

	#add(owner: string, standby: string, count: number): void {
		const counts = this.#counts.get(owner) ?? new Map<string, number>();
		counts.set(standby, (counts.get(standby) ?? 0) + count);
		this.#counts.set(owner, counts);
	}
}

const noCounts: ReadonlyMap<string, number> = new Map();

function reasonToChange(
	draft: Draft,
	row: SliceRow,
	choices: StandbyChoices,
): StandbyReason | undefined {
	const {pool} = draft;
	if (row.owner === '') {
		return undefined;
	}

	if (row.standby === '') {
		return 'no-standby';
	}

	if (pool.fitness(row.standby) !== 'fit' || row.standby === row.owner) {
		return 'standby-unfit';
	}

	// The owner's guardian may be about to follow the row as it stands.
	if (pool.isDown(row.owner)) {
		return undefined;
	}

	const best = choices.best(row);
	const isWorse = choices.penalty(row, row.standby) > best.penalty;
	return best.names.length > 0 && isWorse ? 'domain-rule' : undefined;
}

/** Judged once the rows whose standby had to change are counted where they are now. */
function reasonToSpread(
	draft: Draft,
	row: SliceRow,
	choices: StandbyChoices,
	uses: StandbyCounts,
): StandbyReason | undefined {
	const mayStay =
		row.owner === '' ||
		row.standby === '' ||
		row.to !== undefined ||
		draft.pool.isDown(row.owner);
	const {names} = choices.best(row);
	if (mayStay || names.length === 0) {
		return undefined;
	}

	const fair = uses.total(row.owner) / names.length;
	const isCrowded =
		uses.count(row.owner, row.standby) > spreadFactor * fair + 1;
	return isCrowded ? 'spread' : undefined;
}

function chooseStandby(
	draft: Draft,
	slice: number,
	uses: StandbyCounts,
	choices: StandbyChoices,
): string | undefined {
	const {service} = draft.situation.service;
	const row = draft.rows[slice];
	const {names} = choices.best(row);
	const ranking = choices.ranking(names);
	const counts = uses.byStandby(plannedOwner(row));
	const burden = (name: string) =>
		(counts.get(name) ?? 0) / draft.targets.get(name)!;
	const first = (most: number) =>
		ranking.first(`${service}/${slice}`, (name) => burden(name) <= most);
	return first(0) ?? first(Math.min(...names.map((name) => burden(name))));
}

/** Who owns the row once its planned move is done. */
function plannedOwner({owner, to}: SliceRow): string {
	return to ?? owner;
}

/** Servers that are equally good, and the rules that they break. */
type StandbyChoice = {
	readonly names: readonly string[];
	readonly penalty: number;
};

/**
 * For each pair of owner and target, the fit servers that break the fewest rules.
 * Owners of one domain share them, as long as the best stand in another.
 */
class StandbyChoices {
	readonly #known = new Map<string, StandbyChoice>();
	readonly #byDomain = new Map<string, StandbyChoice>();
	readonly #rankings = new Map<readonly string[], Ranking>();

	constructor(
		private readonly draft: Draft,
		private readonly guards: GuardianDomains,
	) {}

	best(row: SliceRow): StandbyChoice {
		const {owner, to} = row;
		const domain = this.draft.pool.domain(owner);
		const shared = memoized(this.#byDomain, `${domain} ${to ?? ''}`, () =>
			this.#findBest(row, this.draft.pool.receivers),
		);
		return shared.penalty < ownerDomainPenalty
			? shared
			: memoized(this.#known, `${owner} ${to ?? ''}`, () =>
					this.#findBest(
						row,
						this.draft.pool.receivers.filter((name) => name !== owner),
					),
				);
	}

	/** The rendezvous order of the names of a choice. */
	ranking(names: readonly string[]): Ranking {
		return memoized(this.#rankings, names, () => Ranking.of(names));
	}

	/** Which rules a standby would break, the weightier ones counting for more. */
	penalty({owner, to}: SliceRow, standby: string): number {
		const {pool} = this.draft;
		const besideOwner = pool.areInDifferentDomains(standby, owner)
			? 0
			: ownerDomainPenalty;
		const guardedBeside =
			this.guards.get(standby) === pool.domain(owner) ? 4 : 0;
		const isTarget = standby === to ? 2 : 0;
		const besideTarget =
			to === undefined || pool.areInDifferentDomains(standby, to) ? 0 : 1;
		return besideOwner + guardedBeside + isTarget + besideTarget;
	}

	#findBest(row: SliceRow, others: readonly string[]): StandbyChoice {
		const faults = others.map((name) => this.penalty(row, name));
		const least = Math.min(...faults);
		const names = others.filter((_, index) => faults[index] === least);
		return {names, penalty: least};
	}
}

/** More than all other faults of a standby together. */
const ownerDomainPenalty = 8;

function memoized<K, V>(known: Map<K, V>, id: K, make: () => V): V {
	const value = known.get(id) ?? make();
	known.set(id, value);
	return value;
}
