/**
 * The range table of one service, as last read from or written to the store. It is
 * written only over the revision last known.
 *
 * After the store has been restored from a copy, the copy's table may lack the last
 * changes: keys may be granted that it does not show. The keeper that made them writes its
 * own table again. Any other daemon goes on from the newer of the copy's table and the one
 * that it has read before, and neither has to be complete.
 */
import {
	eraOf,
	fold,
	laterTable,
	revisionIn,
	revisionText,
	type RangeTable,
} from '@kingcuproute/core';
import {
	isOfItsEra,
	parseRangeTable,
	rangeTablesKind,
	rangeTableSpec,
	withEra,
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
	#isWrittenUnderLease = false;
	/** Whether this daemon has written the table under the lease held now, in whichever era: it then knows of all grants, whatever the store shows. */
	#isOwn = false;
	#object: StoredObject | undefined;
	/** The revision as of which the object, or that there is none, is known. */
	#asOf = 0;
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

	/** Whether it was written under the lease held now, in the present era of the store. */
	get isWrittenUnderLease(): boolean {
		return this.#isWrittenUnderLease && this.#isOfPresentEra;
	}

	/** Whether the table was last written in a former era of the store. */
	get isFromFormerEra(): boolean {
		return this.#object
			? !this.#isOfPresentEra || !isOfItsEra(this.#object)
			: !this.context.store.era.isFirst;
	}

	/** Whether keys may be granted that the table does not show as granted. */
	get mayLackGrants(): boolean {
		return this.isFromFormerEra && !this.#isOwn;
	}

	/** To be called when this daemon has taken the lease: another one may have changed the table. */
	beginTenure(): void {
		this.#isWrittenUnderLease = false;
		this.#isOwn = false;
	}

	/** To be called when the table has been written first under the lease. */
	confirmTenure(): void {
		this.#isWrittenUnderLease = true;
		this.#isOwn = true;
	}

	/** Applies the table's object as read from the store at a revision, unless it is older than the known one; undefined while there is none. */
	update(object: StoredObject | undefined, asOf = object?.revision ?? 0): void {
		if (!object) {
			if (eraOf(asOf) > eraOf(this.#asOf)) {
				this.#lose(asOf);
			}

			return;
		}

		if (object.revision <= this.#asOf) {
			return;
		}

		const table = fold(
			parseRangeTable(object.spec),
			() => undefined,
			(read) => read,
		);
		if (this.#isWrittenUnderLease && this.context.lease.isHeld) {
			const isOurs =
				table &&
				isOfItsEra(object) &&
				[this.#table, this.#lastWritten].some(equalTo(table));
			// Another writer has replaced the table, or a copy has. The keeper's own copy is right, and is written again.
			this.#isWrittenUnderLease = isOurs ?? false;
			this.#take(object, isOurs ? table : this.#table);
		} else if (table) {
			const isPresent = isOfItsEra(object);
			this.#take(object, isPresent ? table : laterTable(this.#table, table));
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
			spec: withEra(rangeTableSpec(table), store.era.number),
		});
		this.#isWriting = false;
		return fold(
			written,
			(error) => {
				log.warn('table-not-written', {
					service,
					error: errorText(error),
					knownRevision: revisionText(this.revision),
					heldRevision: revisionText(heldRevision(error)),
				});
				if (error.kind === 'conflict') {
					this.update(error.held);
				} else if (error.kind === 'missing') {
					this.#lose(
						Math.max(this.#asOf, revisionIn(store.era.number, 0) ?? 0),
					);
				}

				return false;
			},
			(object) => {
				if (object.revision < this.#asOf) {
					return false;
				}

				if (!isOfItsEra(object)) {
					// The store was restored before it carried the write out.
					this.update(object);
					return false;
				}

				this.#take(object, table);
				return true;
			},
		);
	}

	/** Whether the known table equals `table`: after a write whose answer was lost, or one by another daemon. */
	equals(table: RangeTable): boolean {
		return equalTo(table)(this.#table);
	}

	get #isOfPresentEra(): boolean {
		return eraOf(this.#asOf) >= this.context.store.era.number;
	}

	#take(object: StoredObject, table: RangeTable): void {
		this.#object = object;
		this.#asOf = object.revision;
		this.#table = table;
	}

	/** Records that the store has no such object; the table that was known is the best that there is. */
	#lose(asOf: number): void {
		this.#object = undefined;
		this.#asOf = asOf;
		this.#isWrittenUnderLease = false;
	}
}

function equalTo(table: RangeTable) {
	const text = JSON.stringify(rangeTableSpec(table));
	return (other: RangeTable | undefined) =>
		other !== undefined && JSON.stringify(rangeTableSpec(other)) === text;
}
