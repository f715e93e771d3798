/** What guardians make of a planned table, all at once. */
import {applyHotChange, hotChanges, type SliceTable} from '@kingcuproute/core';

/** The table with intents, wishes and changes of hot keys carried out. */
export function carriedOut(table: SliceTable): SliceTable {
	const rows = table.rows.map(({to, ...row}) =>
		to === undefined
			? row
			: {
					owner: to,
					epoch: row.epoch + 1,
					standby: row.standby === to ? row.owner : row.standby,
				},
	);
	const guards = Object.fromEntries(
		Object.entries(table.guards).map(([name, {next, ...guard}]) => [
			name,
			{...guard, ...next, incarnation: 'run'},
		]),
	);
	return withHotChanges({...table, rows, guards});
}

function withHotChanges(table: SliceTable): SliceTable {
	let next = table;
	for (const server of Object.keys(table.guards)) {
		let [change] = hotChanges(next, server);
		while (change) {
			next = applyHotChange(next, server, change)!;
			[change] = hotChanges(next, server);
		}
	}

	return next;
}
