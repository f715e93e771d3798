/** The slice table that a daemon acts on: the stored one, overridden by successions. */
import {type View} from '../config/view.js';
import {type SliceTable} from './slice-table.js';
import {type Succession} from './succession.js';

/** The table in force of one service, or undefined while the service has none. */
export function tableInForce(
	view: View,
	service: string,
): SliceTable | undefined {
	let table = view.get('table', service);
	if (!table) {
		return undefined;
	}

	const {guards} = table;
	for (const succession of view.all('succession')) {
		const {server, term} = succession;
		if (succession.service === service && guards[server]?.term === term) {
			table = withSuccession(table, succession);
		}
	}

	return table;
}

function withSuccession(table: SliceTable, succession: Succession): SliceTable {
	const rows = [...table.rows];
	for (const {slice, owner, epoch} of succession.rows) {
		const row = rows[slice];
		if (row?.owner === succession.server && row.epoch + 1 === epoch) {
			rows[slice] = {owner, epoch, standby: ''};
		}
	}

	return {...table, rows};
}
