/** The table that a plan is building: its rows, the changes made so far, and the resulting load of each server. */
import {sliceCount} from '../ownership/hot-keys.js';
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
	/** Number of slices: rows before this index are slices of the hash space, the others belong to hot keys. */
	readonly slices: number;
	/** Hot keys, in order of their rows, which follow those of the slices; a free row has the key ''. */
	readonly hot: HotKey[];
	/** Weights by row; see `rowWeights`. */
	readonly weights: readonly number[];
	/** Weights of the heaviest keys. */
	readonly keyWeights: ReadonlyMap<string, number>;
	/** Share of the load that each fit server should have. */
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
		this.slices = table ? sliceCount(table) : service.slices;
		const {rows, keys} = rowWeights(situation);
		this.#weights = [...rows];
		this.weights = this.#weights;
		this.keyWeights = keys;
		this.targets = targetShares(this.pool, situation);
		for (const [slice, row] of this.rows.entries()) {
			this.#add(this.futureOwner(row), this.weights[slice]);
		}
	}

	/** The owner of the row after its planned move, or after failover if its owner is down. */
	futureOwner({owner, standby, to}: SliceRow): string {
		return to ?? (this.pool.isDown(owner) ? standby : owner);
	}

	/** Replaces a row and records the change. */
	change(slice: number, row: SliceRow, change: Change): void {
		this.#add(this.futureOwner(this.rows[slice]), -this.weights[slice]);
		this.rows[slice] = row;
		this.#add(this.futureOwner(row), this.weights[slice]);
		this.changes.push(change);
	}

	/** Reserves a free row, or a new one, for a hot key; returns the row's number. */
	addHotKey(key: string): number {
		const freeIndex = this.hot.findIndex((other) => other.key === '');
		const index = freeIndex === -1 ? this.hot.length : freeIndex;
		this.hot[index] = {key};
		if (freeIndex === -1) {
			this.rows.push(unowned);
			this.#weights.push(0);
		}

		return this.slices + index;
	}

	/** Whether the row belongs to a hot key that is returning to its slice. */
	isCooling(row: number): boolean {
		return this.hot[row - this.slices]?.cools ?? false;
	}

	/** Rows that must not move because of a hot key: rows whose key is returning to its slice, reserved rows without an owner, and the slices of these keys. */
	rowsHeldForHotKeys(): ReadonlySet<number> {
		const held = new Set<number>();
		for (const [index, {key, cools}] of this.hot.entries()) {
			const row = this.slices + index;
			if (key !== '' && (Boolean(cools) || this.rows[row].owner === '')) {
				held.add(row).add(sliceOf(key, this.slices));
			}
		}

		return held;
	}

	/** Owners of slices whose hot key waits for its own row, which will make part of their load movable. */
	ownersAwaitingHotRows(): ReadonlySet<string> {
		const waitingKeys = this.hot.filter(
			({key}, index) =>
				key !== '' && this.rows[this.slices + index].owner === '',
		);
		return new Set(
			waitingKeys.map(({key}) => this.rows[sliceOf(key, this.slices)].owner),
		);
	}

	/** The server's load plus `extra`, relative to its target: 1 is on target. */
	loadRatio(server: string, extra = 0): number {
		return (
			((this.#loads.get(server) ?? 0) + extra) / (this.targets.get(server) ?? 0)
		);
	}

	/** The server with the lowest load ratio after adding `weight`, among those that may receive slices now. */
	leastLoadedWith(weight: number): string | undefined {
		return minBy(this.pool.receivers, (name) => this.loadRatio(name, weight));
	}

	#add(server: string, weight: number): void {
		this.#loads.set(server, (this.#loads.get(server) ?? 0) + weight);
	}
}

const unowned: SliceRow = {owner: '', epoch: 0, standby: ''};

/** The first of `items` with the lowest score; undefined if there is none. */
export function minBy<T>(
	items: readonly T[],
	score: (item: T) => number,
): T | undefined {
	let best: T | undefined;
	let bestScore = Infinity;
	for (const item of items) {
		const itemScore = score(item);
		if (itemScore < bestScore) {
			best = item;
			bestScore = itemScore;
		}
	}

	return best;
}
