/**
 * Rows of hot keys. The planner marks a key as hot; the guardian of the slice's owner
 * gives the key a row of its own, and removes the row after the key has cooled, once
 * one server owns both the row and the slice. Either change increments the slice's
 * epoch, so that a slice at a given epoch always covers the same keys.
 */
import {sliceOf} from './slice.js';
import {type SliceRow, type SliceTable} from './slice-table.js';

/** Gives a key a row of its own (`heat`), or returns it to its slice (`cool`). */
export type HotChange = {
	readonly kind: 'heat' | 'cool';
	readonly key: string;
	/** The number of the key's own row. */
	readonly row: number;
	/** The key's slice by hash, and its epoch. */
	readonly slice: number;
	readonly epoch: number;
};

/** The number of rows that are slices by hash; the rows after them belong to hot keys. */
export function sliceCount({rows, hot}: SliceTable): number {
	return rows.length - (hot?.length ?? 0);
}

/** The rows of hot keys whose row has an owner; every other key is routed by its slice. */
export function hotRows(table: SliceTable): ReadonlyMap<string, number> {
	const count = sliceCount(table);
	return new Map(
		(table.hot ?? [])
			.map(({key}, at) => [key, count + at] as const)
			.filter(([key, row]) => key !== '' && table.rows[row].owner !== ''),
	);
}

/** The index of the row that routes requests for `key`. */
export function rowIndexOf(table: SliceTable, key: string): number {
	return hotRows(table).get(key) ?? sliceOf(key, sliceCount(table));
}

/** The changes due from the guardian of `server`; none for a key while its slice or its row is moving. */
export function hotChanges(
	table: SliceTable,
	server: string,
): readonly HotChange[] {
	const count = sliceCount(table);
	return (table.hot ?? []).flatMap(({key, cools}, at): readonly HotChange[] => {
		const row = count + at;
		const slice = key === '' ? undefined : sliceOf(key, count);
		if (slice === undefined || !isOwnedWithoutMove(table.rows[slice], server)) {
			return [];
		}

		const {epoch} = table.rows[slice];
		const change = {key, row, slice, epoch};
		if (cools) {
			const isSameOwner = isOwnedWithoutMove(table.rows[row], server);
			return isSameOwner ? [{kind: 'cool', ...change}] : [];
		}

		const isNew = table.rows[row].owner === '';
		return isNew ? [{kind: 'heat', ...change}] : [];
	});
}

/** `table` after `change`, or undefined when the change no longer applies. */
export function applyHotChange(
	table: SliceTable,
	server: string,
	change: HotChange,
): SliceTable | undefined {
	const {kind, key, row, slice, epoch} = change;
	const isDue = hotChanges(table, server).some(
		(due) =>
			due.kind === kind &&
			due.key === key &&
			due.row === row &&
			due.epoch === epoch,
	);
	if (!isDue) {
		return undefined;
	}

	const rows = [...table.rows];
	const base = rows[slice];
	rows[slice] = {...base, epoch: epoch + 1};
	rows[row] =
		kind === 'heat'
			? {owner: server, epoch: rows[row].epoch + 1, standby: base.standby}
			: {owner: '', epoch: rows[row].epoch, standby: ''};
	const at = row - sliceCount(table);
	const hot = (table.hot ?? []).map((known, index) =>
		kind === 'cool' && index === at ? {key: ''} : known,
	);
	return {...table, rows, hot};
}

function isOwnedWithoutMove(row: SliceRow, server: string): boolean {
	return row.owner === server && row.to === undefined;
}
