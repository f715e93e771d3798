/** The range table of one service: as the store was last heard to have it, and written only on top of that. */
import {fold, type RangeTable} from '@kingcuproute/core';
import {
	parseRangeTable,
	rangeTablesKind,
	rangeTableSpec,
	shownError,
	type ObjectStore,
	type StoredObject,
} from '@kingcuproute/platform';
import {type Log} from '../log/log.js';
import {type KeeperLease} from './keeper-lease.js';

export type KeptTableMeans = {
	readonly service: string;
	readonly lease: Pick<KeeperLease, 'isHeld'>;
	readonly store: ObjectStore;
	readonly log: Log;
};

export class KeptTable {
	/** Whether it was written under the lease now held: no older write can land after that. */
	isInForce = false;
	#object: StoredObject | undefined;
	#table: RangeTable;
	/** Written last; its answer may be lost. */
	#tried: RangeTable | undefined;
	#isWriting = false;

	constructor(private readonly means: KeptTableMeans) {
		this.#table = {service: means.service, nextFence: 1, ranges: []};
	}

	get value(): RangeTable {
		return this.#table;
	}

	get isWriting(): boolean {
		return this.#isWriting;
	}

	/** Takes in the table's object as the store has it. */
	heard(object: StoredObject | undefined): void {
		if ((object?.revision ?? 0) <= (this.#object?.revision ?? 0)) {
			return;
		}

		const table = fold(
			parseRangeTable(object?.spec),
			() => undefined,
			(read) => read,
		);
		if (this.isInForce && this.means.lease.isHeld) {
			const isOurs = table && [this.#table, this.#tried].some(isSame(table));
			// Only the keeper knows for sure what stood there: it writes its own table again.
			this.isInForce = isOurs ?? false;
			this.#object = object;
			this.#table = isOurs ? table : this.#table;
		} else if (table) {
			this.#object = object;
			this.#table = table;
		}
	}

	/** Replaces the table in the store; false when that failed, may have failed, or was overwritten since. */
	async put(table: RangeTable): Promise<boolean> {
		const {store, service, log} = this.means;
		this.#isWriting = true;
		this.#tried = table;
		const written = await store.write({
			kind: rangeTablesKind,
			name: service,
			revision: this.#object?.revision,
			spec: rangeTableSpec(table),
		});
		this.#isWriting = false;
		return fold(
			written,
			(error) => {
				log.warn('table-not-written', {service, error: shownError(error)});
				if (error.kind === 'conflict') {
					this.heard(error.held);
				} else if (error.kind === 'missing') {
					this.#object = undefined;
				}

				return false;
			},
			(object) => {
				if (object.revision < (this.#object?.revision ?? 0)) {
					return false;
				}

				this.#object = object;
				this.#table = table;
				return true;
			},
		);
	}

	/** Whether the table last heard of is `table`: a write whose answer was lost, or the same by another daemon. */
	has(table: RangeTable): boolean {
		return isSame(table)(this.#table);
	}
}

function isSame(table: RangeTable) {
	const text = JSON.stringify(rangeTableSpec(table));
	return (other: RangeTable | undefined) =>
		other !== undefined && JSON.stringify(rangeTableSpec(other)) === text;
}
