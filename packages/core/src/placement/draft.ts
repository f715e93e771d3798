/** A table in the making: its rows so far, the changes made, and the load that each server will bear. */
import {slicesOf} from '../ownership/hot-keys.js';
import {sliceOf} from '../ownership/slice.js';
import {type HotKey, type SliceRow} from '../ownership/slice-table.js';
import {type Change} from './change.js';
import {rowWeights} from './row-weights.js';
import {ServerPool} from './server-pool.js';
import {type Situation} from './situation.js';
import {targetShares} from './target-shares.js';

export class Draft {
	readonly rows: SliceRow[];
	readonly changes: Change[] = [];
	readonly pool: ServerPool;
	/** Rows that are slices by hash. */
	readonly slices: number;
	/** Keys of the rows after those, in order. */
	readonly hot: HotKey[];
	/** Weights by row. */
	readonly weights: readonly number[];
	/** Weights of the heaviest keys. */
	readonly keyWeights: ReadonlyMap<string, number>;
	/** Share of the load that each fit server is to bear. */
	readonly targets: ReadonlyMap<string, number>;
	readonly #weights: number[];
	readonly #loads = new Map<string, number>();

	constructor(readonly situation: Situation) {
		const {service, table} = situation;
		this.rows = table
			? [...table.rows]
			: Array.from({length: service.slices}, () => unowned);
		this.pool = ServerPool.of(situation);
		this.hot = [...(table?.hot ?? [])];
		this.slices = table ? slicesOf(table) : service.slices;
		const {rows, keys} = rowWeights(situation);
		this.#weights = [...rows];
		this.weights = this.#weights;
		this.keyWeights = keys;
		this.targets = targetShares(this.pool, situation);
		for (const [slice, row] of this.rows.entries()) {
			this.#add(this.futureOwner(row), this.weights[slice]);
		}
	}

	/** Who owns the row once what is planned, or what a loss brings, has been done. */
	futureOwner({owner, standby, to}: SliceRow): string {
		return to ?? (this.pool.isDown(owner) ? standby : owner);
	}

	/** Replaces a row and notes why. */
	change(slice: number, row: SliceRow, change: Change): void {
		this.#add(this.futureOwner(this.rows[slice]), -this.weights[slice]);
		this.rows[slice] = row;
		this.#add(this.futureOwner(row), this.weights[slice]);
		this.changes.push(change);
	}

	/** Names a key for a free row, or for a new one; gives the row's number. */
	addHotKey(key: string): number {
		const free = this.hot.findIndex((known) => known.key === '');
		const at = free === -1 ? this.hot.length : free;
		this.hot[at] = {key};
		if (free === -1) {
			this.rows.push(unowned);
			this.#weights.push(0);
		}

		return this.slices + at;
	}

	/** Whether the row is one that is to be given up. */
	isCooling(row: number): boolean {
		return this.hot[row - this.slices]?.cools ?? false;
	}

	/** Rows that must stay for a key's change: rows that cool, and slices whose key waits for its row or comes back. */
	rowsHeldForHotKeys(): ReadonlySet<number> {
		const tied = new Set<number>();
		for (const [at, {key, cools}] of this.hot.entries()) {
			const row = this.slices + at;
			if (key !== '' && (Boolean(cools) || this.rows[row].owner === '')) {
				tied.add(row).add(sliceOf(key, this.slices));
			}
		}

		return tied;
	}

	/** Owners of slices that a key waits to leave: what they bear is about to become movable. */
	ownersAwaitingHotRows(): ReadonlySet<string> {
		const waits = this.hot.filter(
			({key}, at) => key !== '' && this.rows[this.slices + at].owner === '',
		);
		return new Set(
			waits.map(({key}) => this.rows[sliceOf(key, this.slices)].owner),
		);
	}

	/** The server's load, with `extra` on top, relative to its target: 1 is on target. */
	loadRatio(server: string, extra = 0): number {
		return (
			((this.#loads.get(server) ?? 0) + extra) / (this.targets.get(server) ?? 0)
		);
	}

	/** The server that would stand lowest with `weight` more, of those that may take slices now. */
	leastLoadedWith(weight: number): string | undefined {
		return minBy(this.pool.receivers, (name) => this.loadRatio(name, weight));
	}

	#add(server: string, weight: number): void {
		this.#loads.set(server, (this.#loads.get(server) ?? 0) + weight);
	}
}

const unowned: SliceRow = {owner: '', epoch: 0, standby: ''};

/** The first of `items` with the least score. */
export function minBy<T>(
	items: readonly T[],
	score: (item: T) => number,
): T | undefined {
	let best: T | undefined;
	let bestScore = Infinity;
	for (const item of items) {
		const itsScore = score(item);
		if (itsScore < bestScore) {
			best = item;
			bestScore = itsScore;
		}
	}

	return best;
}
