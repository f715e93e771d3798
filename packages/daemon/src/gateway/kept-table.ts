/**
 * The range table of one service, as last read from or written to the store. It is
 * written only over the revision last known.
 */
import {fold, type RangeTable} from '@kingcuproute/core';
import {
	parseRangeTable,
	rangeTablesKind,
	rangeTableSpec,
	errorText,
	heldRevision,
	type ObjectStore,
	type StoredObject,
} from '@kingcuproute/platform';
import {type Log} from '../log/log.js';
import {type KeeperLease} from './keeper-lease.js';

export type KeptTableContext = {
	readonly service: string;
	readonly lease: Pick<KeeperLease, 'isHeld'>;
	readonly store: ObjectStore;
	readonly log: Log;
};

export class KeptTable {
	/** Whether it was written under the lease held now. After that no earlier write can succeed. */
	isWrittenUnderLease = false;
	#object: StoredObject | undefined;
	#table: RangeTable;
	/** The table written last, whose answer may have been lost. */
	#lastWritten: RangeTable | undefined;
	#isWriting = false;

	constructor(private readonly context: KeptTableContext) {
		this.#table = {service: context.service, nextFence: 1, ranges: []};
	}

	get value(): RangeTable {
		return this.#table;
	}

	/** The revision of the object that was last read or written; undefined if there is none. */
	get revision(): number | undefined {
		return this.#object?.revision;
	}

	get isWriting(): boolean {
		return this.#isWriting;
	}

	/** Applies the table's object as read from the store, unless it is older than the known one. */
	update(object: StoredObject | undefined): void {
		if ((object?.revision ?? 0) <= (this.#object?.revision ?? 0)) {
			return;
		}

		const table = fold(
			parseRangeTable(object?.spec),
			() => undefined,
			(read) => read,
		);
		if (this.isWrittenUnderLease && this.context.lease.isHeld) {
			const isOurs =
				table && [this.#table, this.#lastWritten].some(equalTo(table));
			// Another writer has replaced the table. The keeper's own copy is right, and is written again.
			this.isWrittenUnderLease = isOurs ?? false;
			this.#object = object;
			this.#table = isOurs ? table : this.#table;
		} else if (table) {
			this.#object = object;
			this.#table = table;
		}
	}

	/** Replaces the table in the store; false if that failed, may have failed, or has been overwritten since. */
	async write(table: RangeTable): Promise<boolean> {
		const {store, service, log} = this.context;
		this.#isWriting = true;
		this.#lastWritten = table;
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
				log.warn('table-not-written', {
					service,
					error: errorText(error),
					knownRevision: this.#object?.revision,
					heldRevision: heldRevision(error),
				});
				if (error.kind === 'conflict') {
					this.update(error.held);
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

	/** Whether the known table equals `table`: after a write whose answer was lost, or one by another daemon. */
	equals(table: RangeTable): boolean {
		return equalTo(table)(this.#table);
	}
}

function equalTo(table: RangeTable) {
	const text = JSON.stringify(rangeTableSpec(table));
	return (other: RangeTable | undefined) =>
		other !== undefined && JSON.stringify(rangeTableSpec(other)) === text;
}
