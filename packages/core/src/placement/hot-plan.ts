/**
 * Decides which hot keys get rows of their own. The planner only reserves rows for keys
 * and marks keys that return to their slices; guardians write the rows' owners and
 * epochs. A key gets a row while the owner of its slice is overloaded and moving the
 * key without the rest of the slice helps. It keeps the row until its load falls below
 * half of the load required for a row, so that fluctuating load changes nothing.
 */
import {sliceOf} from '../ownership/slice.js';
import {type Draft, minBy} from './draft.js';
import {maxHotKeyLen} from './heavy-keys.js';

/** A key without a row displaces one whose load is lower by at least this factor. */
const displaceFactor = 2;

/** A key that may get a row, with its weight and slice. */
type Candidate = {
	readonly key: string;
	readonly weight: number;
	readonly slice: number;
};

/** Plans up to `budget` changes of hot keys, returns the number made; moves off unfit servers may exceed the budget. */
export function planHotKeys(
	draft: Draft,
	budget: number,
	balancing: boolean,
): number {
	const planner = new HotKeyPlanner(draft, Math.max(0, Math.floor(budget)));
	planner.retargetCoolingRows();
	if (draft.situation.measured && draft.pool.fit.length > 0) {
		planner.coolLightKeys();
		planner.reserveRows(balancing);
	}

	return planner.changesMade;
}

class HotKeyPlanner {
	changesMade = 0;
	readonly #evenShare: number;

	constructor(
		private readonly draft: Draft,
		private readonly budget: number,
	) {
		this.#evenShare = 1 / Math.max(1, draft.pool.fit.length);
	}

	/** Plans a move of each cooling row to the future owner of the key's slice. */
	retargetCoolingRows(): void {
		for (const [at, {cools}] of this.draft.hot.entries()) {
			if (cools) {
				this.#retarget(at);
			}
		}
	}

	/** Marks the keys that no longer have enough load; a key whose row has no owner yet is dropped at once. */
	coolLightKeys(): void {
		const {hotRows, coolShare} = this.draft.situation.policy;
		const minWeight = hotRows === 0 ? Infinity : coolShare * this.#evenShare;
		for (const [at, {key, cools}] of this.draft.hot.entries()) {
			if (key !== '' && !cools && this.#weight(key) < minWeight) {
				this.#coolKey(at);
			}
		}
	}

	/** Reserves rows for the heaviest keys that are worth one; if no row is free, the lightest keys are displaced. */
	reserveRows(balancing: boolean): void {
		const {draft} = this;
		let coolingCount = draft.hot.filter(({cools}) => cools).length;
		for (const candidate of this.#candidates(balancing)) {
			if (this.#hasFreeRow()) {
				this.#reserveRow(candidate);
			} else if (coolingCount > 0) {
				coolingCount--;
			} else {
				this.#displaceLightest(candidate);
			}
		}
	}

	#hasFreeRow(): boolean {
		const reservedRows = this.draft.hot.filter(({key}) => key !== '').length;
		return reservedRows < this.draft.situation.policy.hotRows;
	}

	#candidates(balancing: boolean): readonly Candidate[] {
		const {draft} = this;
		const {heatShare} = draft.situation.policy;
		const keysWithRow = new Set(draft.hot.map(({key}) => key));
		return [...draft.keyWeights]
			.filter(
				([key, weight]) =>
					weight >= heatShare * this.#evenShare &&
					!keysWithRow.has(key) &&
					key.length <= maxHotKeyLen,
			)
			.map(([key, weight]) => ({
				key,
				weight,
				slice: sliceOf(key, draft.slices),
			}))
			.filter((candidate) => this.#isWorthRow(candidate, balancing))
			.sort((a, b) => b.weight - a.weight);
	}

	/** Whether the owner of the key's slice is overloaded, and separating the key from the slice's other keys helps. */
	#isWorthRow({weight, slice}: Candidate, balancing: boolean): boolean {
		const {draft} = this;
		const {startShare, stopShare, restShare} = draft.situation.policy;
		const {owner, to} = draft.rows[slice];
		const threshold = balancing ? stopShare : startShare;
		const rest = draft.weights[slice] - weight;
		return (
			to === undefined &&
			draft.pool.fit.length > 1 &&
			draft.pool.fitness(owner) === 'fit' &&
			draft.loadRatio(owner) > 1 + threshold &&
			rest >= restShare * this.#evenShare
		);
	}

	#reserveRow({key, weight, slice}: Candidate): void {
		if (this.changesMade < this.budget) {
			this.changesMade++;
			const row = this.draft.addHotKey(key);
			const share = this.#relativeShare(weight);
			this.draft.changes.push({kind: 'heat', key, row, slice, share});
		}
	}

	#displaceLightest({weight}: Candidate): void {
		const {hot} = this.draft;
		const active = [...hot.keys()].filter(
			(at) => hot[at].key && !hot[at].cools,
		);
		const at = minBy(active, (other) => this.#weight(hot[other].key));
		if (
			at !== undefined &&
			this.#weight(hot[at].key) * displaceFactor <= weight
		) {
			this.#coolKey(at);
		}
	}

	#coolKey(at: number): void {
		const {draft} = this;
		const {key} = draft.hot[at];
		const row = draft.slices + at;
		const slice = sliceOf(key, draft.slices);
		const change = {
			key,
			row,
			slice,
			share: this.#relativeShare(this.#weight(key)),
		};
		if (draft.rows[row].owner === '') {
			draft.hot[at] = {key: ''};
			draft.changes.push({kind: 'drop', ...change});
		} else if (this.changesMade < this.budget) {
			draft.hot[at] = {key, cools: true};
			draft.changes.push({kind: 'cool', ...change});
			if (!this.#retarget(at)) {
				this.changesMade++;
			}
		}
	}

	/** Plans a move of the row to the future owner of the key's slice, or cancels one; returns whether that changed the row. */
	#retarget(at: number): boolean {
		const {draft} = this;
		const row = draft.slices + at;
		const {to: planned, ...rest} = draft.rows[row];
		const {owner: from} = rest;
		const to = draft.futureOwner(
			draft.rows[sliceOf(draft.hot[at].key, draft.slices)],
		);
		const mayMove =
			!draft.pool.isDown(from) &&
			to !== (planned ?? from) &&
			(to === from || draft.pool.receivers.includes(to));
		const mustMove = draft.pool.fitness(from) !== 'fit';
		if (!mayMove || (this.changesMade >= this.budget && !mustMove)) {
			return false;
		}

		this.changesMade++;
		const common = {slice: row, from, reason: 'key-cools' as const};
		if (to === from) {
			draft.change(row, rest, {kind: 'withdraw', to: planned!, ...common});
		} else {
			draft.change(row, {...rest, to}, {kind: 'move', to, ...common});
		}

		return true;
	}

	#weight(key: string): number {
		return this.draft.keyWeights.get(key) ?? 0;
	}

	/** The weight as a fraction of a server's even share of the load. */
	#relativeShare(weight: number): number {
		return Math.round((weight / this.#evenShare) * 100) / 100;
	}
}
