/** The table changes that the planner makes to mark a key as hot, withdraw the mark, or cool the key. */
import {sliceOf, sliceCount, type SliceTable} from '../../src/index.js';

/** Marks the key as hot, with a free row or a new one at the end. */
export function withHotKey(
	table: SliceTable,
	key: string,
): SliceTable | undefined {
	const keys = table.hot ?? [];
	if (keys.some((hot) => hot.key === key)) {
		return undefined;
	}

	const free = keys.findIndex((hot) => hot.key === '');
	if (free !== -1) {
		return {
			...table,
			hot: keys.map((hot, at) => (at === free ? {key} : hot)),
		};
	}

	const row = {owner: '', epoch: 0, standby: ''};
	return {...table, rows: [...table.rows, row], hot: [...keys, {key}]};
}

/** Marks the key as cooling, and plans its row's move to the owner of its slice. */
export function withCoolingKey(
	table: SliceTable,
	key: string,
): SliceTable | undefined {
	const keys = table.hot ?? [];
	const at = keys.findIndex((hot) => hot.key === key);
	const count = sliceCount(table);
	const row = table.rows[count + at];
	if (at === -1 || row.owner === '') {
		return undefined;
	}

	const {to, ...rest} = row;
	const {owner} = table.rows[sliceOf(key, count)];
	const rows = [...table.rows];
	rows[count + at] = owner === row.owner ? rest : {...rest, to: owner};
	const hot = keys.map((other, index) =>
		index === at ? {key, cools: true} : other,
	);
	return {...table, rows, hot};
}

/** Withdraws the mark of a key whose row has no owner yet. */
export function withoutHotKey(
	table: SliceTable,
	key: string,
): SliceTable | undefined {
	const keys = table.hot ?? [];
	const at = keys.findIndex((hot) => hot.key === key);
	if (at === -1 || table.rows[sliceCount(table) + at].owner !== '') {
		return undefined;
	}

	const hot = keys.map((other, index) => (index === at ? {key: ''} : other));
	return {...table, hot};
}
