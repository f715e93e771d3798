/**
 * The difference between two versions of a slice table. A table may have thousands of
 * rows; a change of a few is sent without the rest.
 */
import {z} from 'zod';
import {
	guardSchema,
	hotKeySchema,
	sliceRowSchema,
	type Guard,
	type SliceRow,
	type SliceTable,
} from './slice-table.js';

export const tableChangeSchema = z.strictObject({
	/** The number of rows after the change. */
	rowCount: z.number().int().min(0),
	/** Rows that are new or differ, with their index. */
	rows: z
		.array(
			z.strictObject({slice: z.number().int().min(0), row: sliceRowSchema}),
		)
		.readonly(),
	/** Guards that are new or differ; without `guard`, the server no longer has one. */
	guards: z
		.array(z.strictObject({server: z.string(), guard: guardSchema.optional()}))
		.readonly(),
	/** The list of hot keys, if it differs; without `keys`, the new table has no list. */
	hot: z
		.strictObject({keys: z.array(hotKeySchema).readonly().optional()})
		.optional(),
	writer: z.string(),
});

/** The difference from one version of a service's table to another. */
export type TableChange = Readonly<z.infer<typeof tableChangeSchema>>;

/** The change that turns `from` into `to`; a row that both share as one object is not compared. */
export function diffTables(from: SliceTable, to: SliceTable): TableChange {
	return {
		rowCount: to.rows.length,
		rows: changedRows(from.rows, to.rows),
		guards: changedGuards(from.guards, to.guards),
		...(!isSame(from.hot, to.hot) && {hot: to.hot ? {keys: to.hot} : {}}),
		writer: to.writer,
	};
}

/** Applies `change`, which must have been computed from exactly this version of the table. */
export function applyTableChange(
	table: SliceTable,
	change: TableChange,
): SliceTable {
	const {rowCount, rows: changed, guards, hot, writer} = change;
	const rows = table.rows.slice(0, rowCount);
	for (const {slice, row} of changed) {
		rows[slice] = row;
	}

	const {hot: before, ...rest} = table;
	const keys = hot ? hot.keys : before;
	return {
		...rest,
		rows,
		...(keys && {hot: keys}),
		guards: guardsWith(table.guards, guards),
		writer,
	};
}

function changedRows(
	from: readonly SliceRow[],
	to: readonly SliceRow[],
): TableChange['rows'] {
	return to.flatMap((row, slice) =>
		isSame(from[slice], row) ? [] : [{slice, row}],
	);
}

function changedGuards(
	from: SliceTable['guards'],
	to: SliceTable['guards'],
): TableChange['guards'] {
	const dropped = Object.keys(from).filter((server) => !(server in to));
	return [
		...Object.entries(to).flatMap(([server, guard]) =>
			isSame(from[server], guard) ? [] : [{server, guard}],
		),
		...dropped.map((server) => ({server})),
	];
}

function guardsWith(
	guards: SliceTable['guards'],
	changes: TableChange['guards'],
): SliceTable['guards'] {
	const next = new Map<string, Guard>(Object.entries(guards));
	for (const {server, guard} of changes) {
		if (guard) {
			next.set(server, guard);
		} else {
			next.delete(server);
		}
	}

	return Object.fromEntries(next);
}

/** Values that differ only in the order of their fields count as different; that costs only bytes. */
function isSame(a: unknown, b: unknown): boolean {
	return a === b || JSON.stringify(a) === JSON.stringify(b);
}
