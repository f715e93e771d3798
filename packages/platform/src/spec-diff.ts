/**
 * What has changed between two revisions of an object, for kinds whose objects are large and
 * change in small parts. A range table of a thousand ranges changes in a few dozen several
 * times a second, and every daemon reads each change.
 */
import {rangeTablesKind} from './range-table-document.js';

/** The first and the last key of a range, and its other columns, which are compared as they are. */
type Row = readonly [number, number, ...unknown[]];

type Table = {readonly ranges: readonly Row[]};

/** Diffs with more than this share of the rows are not worth their processor time. */
const maxShare = 0.5;

/** Whether objects of the kind have diffs. */
export function hasDiffs(kind: string): boolean {
	return kind === rangeTablesKind;
}

/** The spec with only the ranges that `base` lacks; undefined if it is not much smaller, or if one of the two is no range table. */
export function specDiff(base: unknown, spec: unknown): unknown {
	if (!isTable(base) || !isTable(spec)) {
		return undefined;
	}

	const known = new Map(base.ranges.map((row) => [row[0], row]));
	const ranges = spec.ranges.filter((row) => !isEqual(row, known.get(row[0])));
	return ranges.length > spec.ranges.length * maxShare
		? undefined
		: {...spec, ranges};
}

/** The spec of which `diff` is the diff to `base`; undefined if one of the two is no range table. */
export function patchedSpec(base: unknown, diff: unknown): unknown {
	if (!isTable(base) || !isTable(diff)) {
		return undefined;
	}

	const ranges = [...kept(base.ranges, diff.ranges), ...diff.ranges];
	return {...diff, ranges: ranges.sort(([a], [b]) => a - b)};
}

function isTable(value: unknown): value is Table {
	const {ranges} = (value ?? {}) as {readonly ranges?: unknown};
	return Array.isArray(ranges) && ranges.every((row) => isRow(row));
}

function isRow(value: unknown): value is Row {
	return (
		Array.isArray(value) &&
		Number.isInteger(value[0]) &&
		Number.isInteger(value[1])
	);
}

/** The ranges of `base` with no key of one in `added`. Every key is in one range of a table, so these are the ones that have not changed. */
function kept(base: readonly Row[], added: readonly Row[]): readonly Row[] {
	let next = 0;
	return base.filter(([from, to]) => {
		while (next < added.length && added[next][1] < from) {
			next++;
		}

		return next === added.length || added[next][0] > to;
	});
}

function isEqual(a: Row, b: Row | undefined): boolean {
	return (
		b?.length === a.length && a.every((value, index) => value === b[index])
	);
}
