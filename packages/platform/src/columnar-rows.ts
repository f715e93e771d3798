/** Lists of the configuration that state the names of their columns once, followed by rows of values. */
import {z} from 'zod';
import {type FieldReader} from './field-reader.js';

export const columnar = z.object({
	columns: z.array(z.unknown()),
	rows: z.array(z.unknown()),
});

/** The readable values of one row, by column. */
export type Row = Readonly<Record<string, unknown>>;

/** How a list is read; the faults of one that holds secrets do not show values. */
type Reading = 'read' | 'readConcealed';

/** One object for each row, with its path; null in a row stands for an absent field. */
export function rowsOf(
	reader: FieldReader,
	list: string,
	{columns, rows}: z.infer<typeof columnar>,
	reading: Reading = 'read',
): ReadonlyArray<readonly [string, Row]> {
	const names = columns.map((column, index) =>
		reader[reading](`${list}.columns.${index}`, z.string(), column, ''),
	);
	return rows.flatMap((row, index) => {
		const path = `${list}.${index}`;
		const values = reader[reading](path, z.array(z.unknown()), row, []);
		return Array.isArray(row) ? [[path, objectOf(names, values)] as const] : [];
	});
}

function objectOf(names: readonly string[], values: readonly unknown[]): Row {
	return Object.fromEntries(
		names.flatMap((name, index) => {
			const value = values[index] ?? undefined;
			return value === undefined ? [] : [[name, value]];
		}),
	);
}
