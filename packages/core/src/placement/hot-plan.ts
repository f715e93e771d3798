/**
 * Which keys get rows of their own. The planner only names and marks keys;
 * guardians write the rows' owners and epochs. A key is named while its slice's
 * owner bears too much and the key could be moved without the rest of its slice; it
 * keeps its row until its load is half of what got it there, so that load which
 * sways changes nothing.
 */
import {sliceOf} from '../ownership/slice.js';
import {type Draft, minBy} from './draft.js';
import {maxHotKeyLen} from './heavy-keys.js';

/** A waiting key displaces one that has this many times less load. */
const displaceFactor = 2;

/** A key with its load and the number of its slice. */
type Candidate = {
	readonly key: string;
	readonly weight: number;
	readonly slice: number;
};

/** Plans up to `budget` changes of hot keys; gives how many were made. */
export function planHotKeys(
	draft: Draft,
	budget: number,
	balancing: boolean,
): number {
	const planning = new HotKeyPlanner(draft, Math.max(0, Math.floor(budget)));
	planning.retargetCoolingRows();
	if (draft.situation.measured && draft.pool.fit.length > 0) {
		planning.coolLightKeys();
		planning.nameHeavyKeys(balancing);
	}

	return planning.changesMade;
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

	/** Sends each cooling row to where its slice will be. */
	retargetCoolingRows(): void {
		for (const [at, {cools}] of this.draft.hot.entries()) {
			if (cools) {
				this.#retarget(at);
			}
		}
	}

	/** Marks the keys that no longer have enough load; one that has no row yet just loses its name. */
	coolLightKeys(): void {
		const {hotRows, coolShare} = this.draft.situation.policy;
		const least = hotRows === 0 ? Infinity : coolShare * this.#evenShare;
		for (const [at, {key, cools}] of this.draft.hot.entries()) {
			if (key !== '' && !cools && this.#weight(key) < least) {
				this.#coolKey(at);
			}
		}
	}

	/** Names the heaviest keys that are worth a row; the lightest ones make room where there is none. */
	nameHeavyKeys(balancing: boolean): void {
		const {draft} = this;
		let waiting = draft.hot.filter(({cools}) => cools).length;
		for (const candidate of this.#candidates(balancing)) {
			if (this.#hasFreeRow()) {
				this.#nameKey(candidate);
			} else if (waiting > 0) {
				waiting--;
			} else {
				this.#displaceLightest(candidate);
			}
		}
	}

	#hasFreeRow(): boolean {
		const named = this.draft.hot.filter(({key}) => key !== '').length;
		return named < this.draft.situation.policy.hotRows;
	}

	#candidates(balancing: boolean): readonly Candidate[] {
		const {draft} = this;
		const {heatShare} = draft.situation.policy;
		const named = new Set(draft.hot.map(({key}) => key));
		return [...draft.keyWeights]
			.filter(
				([key, weight]) =>
					weight >= heatShare * this.#evenShare &&
					!named.has(key) &&
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

	/** Whether its slice's owner bears too much, and parting it from the slice's other keys helps. */
	#isWorthRow({weight, slice}: Candidate, balancing: boolean): boolean {
		const {draft} = this;
		const {startShare, stopShare, restShare} = draft.situation.policy;
		const {owner, to} = draft.rows[slice];
		const bound = balancing ? stopShare : startShare;
		const rest = draft.weights[slice] - weight;
		return (
			to === undefined &&
			draft.pool.fit.length > 1 &&
			draft.pool.fitness(owner) === 'fit' &&
			draft.loadRatio(owner) > 1 + bound &&
			rest >= restShare * this.#evenShare
		);
	}

	#nameKey({key, weight, slice}: Candidate): void {
		if (this.changesMade < this.budget) {
			this.changesMade++;
			const row = this.draft.addHotKey(key);
			const share = this.#relativeShare(weight);
			this.draft.changes.push({kind: 'heat', key, row, slice, share});
		}
	}

	#displaceLightest({weight}: Candidate): void {
		const {hot} = this.draft;
		const warm = [...hot.keys()].filter((at) => hot[at].key && !hot[at].cools);
		const at = minBy(warm, (other) => this.#weight(hot[other].key));
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

	/** Plans the row to the owner to be of its slice; gives whether that was a change. */
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
		const about = {slice: row, from, reason: 'key-cools' as const};
		if (to === from) {
			draft.change(row, rest, {kind: 'withdraw', to: planned!, ...about});
		} else {
			draft.change(row, {...rest, to}, {kind: 'move', to, ...about});
		}

		return true;
	}

	#weight(key: string): number {
		return this.draft.keyWeights.get(key) ?? 0;
	}

	/** A weight as a part of a server's even share of the load. */
	#relativeShare(weight: number): number {
		return Math.round((weight / this.#evenShare) * 100) / 100;
	}
}
