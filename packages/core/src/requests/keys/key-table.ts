/**
 * Which daemon keeps the records of which idempotency keys: one object in the platform,
 * changed by conditional update. Keys are hashed into parts, with one row each. A part's
 * term rises with every change of its row, and only the holder at the newest term may
 * grant keys.
 */
import {z} from 'zod';
import {hash32} from '../../chance/hash.js';

export const keyRowSchema = z.strictObject({
	/** The daemon run that keeps the records. */
	holder: z.string(),
	/** The daemon run that lends the holder the right to grant and takes over from it; empty if there was no other daemon. */
	successor: z.string(),
	term: z.number().int().min(1),
	/** When the holder took over, in ms since the Unix epoch: it has no records of older keys. */
	since: z.number().min(0),
});

export const keyTableSchema = z.strictObject({
	rows: z.array(keyRowSchema).min(1).readonly(),
});

/** The row of one part: its holder and successor. */
export type KeyRow = Readonly<z.infer<typeof keyRowSchema>>;

/** The rows of all parts, in order of the part's number. */
export type KeyTable = Readonly<z.infer<typeof keyTableSchema>>;

/** The name of the table's object; there is only one table. */
export const keyTableName = 'fleet';

/** The number of parts. */
export const keyPartCount = 64;

/** The part of `key`, from 0 to `count` - 1. */
export function partOf(key: string, count: number): number {
	return hash32(key) % count;
}

/** `next`, but with the `since` of `before` for the parts in `transferred`: the next holder has received their records. */
export function withTransferredRecords(
	before: KeyTable,
	next: KeyTable,
	transferred: ReadonlySet<number>,
): KeyTable {
	const rows = next.rows.map((row, part) =>
		transferred.has(part) ? {...row, since: before.rows[part].since} : row,
	);
	return {rows};
}

/** The parts that `next` moves from `holder` to other holders, by new holder. */
export function partsGivenUp(
	before: KeyTable,
	next: KeyTable,
	holder: string,
): ReadonlyMap<string, readonly number[]> {
	const parts = new Map<string, readonly number[]>();
	for (const [part, row] of next.rows.entries()) {
		if (before.rows[part].holder === holder && row.holder !== holder) {
			parts.set(row.holder, [...(parts.get(row.holder) ?? []), part]);
		}
	}

	return parts;
}
