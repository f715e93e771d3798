/**
 * Chooses standbys. A standby and its guardian should stand outside the owner's
 * failure domain, so that after the loss of that domain a guardian remains that can
 * grant the lease. Where possible, the standby also stands outside the failure domain
 * of the owner after a planned move. An owner's rows are spread over many standbys, so
 * that its loss adds only a little load to each of them.
 */
import {type SliceRow} from '../ownership/slice-table.js';
import {type GuardianDomains} from './guard-domains.js';
import {type StandbyReason} from './change.js';
import {type Draft} from './draft.js';
import {Ranking} from './ranking.js';
import {inParts, type Steps} from './steps.js';

/** A standby is replaced if it has more than this many times its even share of an owner's rows, plus one. */
const spreadFactor = 2;

/** Rows processed in one part. */
const partLen = 128;

/** Gives every row a fit standby where there is one, then spreads the rows of standbys that have too many from one owner. */
export function* planStandbys(
	draft: Draft,
	guards: GuardianDomains,
): Steps<void> {
	const standbyCounts = new StandbyCounts(draft.rows);
	const choices = new StandbyChoices(draft, guards);
	for (const reasonFor of [reasonToChange, reasonToSpread]) {
		yield* inParts(draft.rows.keys(), partLen, (slice) => {
			const reason = reasonFor(
				draft,
				draft.rows[slice],
				choices,
				standbyCounts,
			);
			if (reason) {
				replaceStandby(draft, slice, reason, {standbyCounts, choices});
			}
		});
	}
}

function replaceStandby(
	draft: Draft,
	slice: number,
	reason: StandbyReason,
	{
		standbyCounts,
		choices,
	}: {readonly standbyCounts: StandbyCounts; readonly choices: StandbyChoices},
): void {
	const row = draft.rows[slice];
	const standby = chooseStandby(draft, slice, standbyCounts, choices);
	if (standby !== undefined && standby !== row.standby) {
		standbyCounts.move(plannedOwner(row), row.standby, standby);
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

/** Numbers of rows by planned owner and standby. */
class StandbyCounts {
	readonly #counts = new Map<string, Map<string, number>>();

	constructor(rows: readonly SliceRow[]) {
		for (const row of rows) {
			this.#add(plannedOwner(row), row.standby, 1);
		}
	}

	/** Number of rows of this planned owner that have this standby. */
	count(owner: string, standby: string): number {
		return this.byStandby(owner).get(standby) ?? 0;
	}

	/** Numbers of rows of this planned owner, by standby. */
	byStandby(owner: string): ReadonlyMap<string, number> {
		return this.#counts.get(owner) ?? noCounts;
	}

	/** Total number of rows of this planned owner. */
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

	// The owner's guardian may be about to fail over to the present standby.
	if (pool.isDown(row.owner)) {
		return undefined;
	}

	const best = choices.best(row);
	const isWorse = choices.penalty(row, row.standby) > best.penalty;
	return best.names.length > 0 && isWorse ? 'domain-rule' : undefined;
}

/** Called after all rows that needed another standby have one, so that the counts include these changes. */
function reasonToSpread(
	draft: Draft,
	row: SliceRow,
	choices: StandbyChoices,
	standbyCounts: StandbyCounts,
): StandbyReason | undefined {
	const isExempt =
		row.owner === '' ||
		row.standby === '' ||
		row.to !== undefined ||
		draft.pool.isDown(row.owner);
	const {names} = choices.best(row);
	if (isExempt || names.length === 0) {
		return undefined;
	}

	const evenShare = standbyCounts.total(row.owner) / names.length;
	const isCrowded =
		standbyCounts.count(row.owner, row.standby) > spreadFactor * evenShare + 1;
	return isCrowded ? 'spread' : undefined;
}

function chooseStandby(
	draft: Draft,
	slice: number,
	standbyCounts: StandbyCounts,
	choices: StandbyChoices,
): string | undefined {
	const {service} = draft.situation.service;
	const row = draft.rows[slice];
	const {names} = choices.best(row);
	const ranking = choices.ranking(names);
	const counts = standbyCounts.byStandby(plannedOwner(row));
	const load = (name: string) =>
		(counts.get(name) ?? 0) / draft.targets.get(name)!;
	const first = (maxLoad: number) =>
		ranking.first(`${service}/${slice}`, (name) => load(name) <= maxLoad);
	return first(0) ?? first(Math.min(...names.map((name) => load(name))));
}

/** The owner of the row after its planned move, if any. */
function plannedOwner({owner, to}: SliceRow): string {
	return to ?? owner;
}

/** Servers that are equally good as standby, and their common penalty. */
type StandbyChoice = {
	readonly names: readonly string[];
	readonly penalty: number;
};

/**
 * The fit servers with the lowest penalty, for each pair of owner and move target.
 * Owners in the same failure domain share the cached result, unless the best servers
 * stand in that domain too.
 */
class StandbyChoices {
	readonly #byOwner = new Map<string, StandbyChoice>();
	readonly #byDomain = new Map<string, StandbyChoice>();
	readonly #rankings = new Map<readonly string[], Ranking>();

	constructor(
		private readonly draft: Draft,
		private readonly guards: GuardianDomains,
	) {}

	best(row: SliceRow): StandbyChoice {
		const {owner, to} = row;
		const domain = this.draft.pool.domain(owner);
		const domainBest = memoized(this.#byDomain, `${domain} ${to ?? ''}`, () =>
			this.#findBest(row, this.draft.pool.receivers),
		);
		return domainBest.penalty < ownerDomainPenalty
			? domainBest
			: memoized(this.#byOwner, `${owner} ${to ?? ''}`, () =>
					this.#findBest(
						row,
						this.draft.pool.receivers.filter((name) => name !== owner),
					),
				);
	}

	/** The rendezvous ranking of the names of a choice. */
	ranking(names: readonly string[]): Ranking {
		return memoized(this.#rankings, names, () => Ranking.of(names));
	}

	/** The sum of the weights of the rules that the standby breaks; 0 if it breaks none. */
	penalty({owner, to}: SliceRow, standby: string): number {
		const {pool} = this.draft;
		const ownerDomain = pool.areInDifferentDomains(standby, owner)
			? 0
			: ownerDomainPenalty;
		const guardianDomain =
			this.guards.get(standby) === pool.domain(owner) ? 4 : 0;
		const isTarget = standby === to ? 2 : 0;
		const targetDomain =
			to === undefined || pool.areInDifferentDomains(standby, to) ? 0 : 1;
		return ownerDomain + guardianDomain + isTarget + targetDomain;
	}

	#findBest(row: SliceRow, servers: readonly string[]): StandbyChoice {
		const penalties = servers.map((name) => this.penalty(row, name));
		const lowest = Math.min(...penalties);
		const names = servers.filter((_, index) => penalties[index] === lowest);
		return {names, penalty: lowest};
	}
}

/** Penalty for a standby in the owner's failure domain; outweighs all other rules together. */
const ownerDomainPenalty = 8;

function memoized<K, V>(cache: Map<K, V>, key: K, make: () => V): V {
	const value = cache.get(key) ?? make();
	cache.set(key, value);
	return value;
}
