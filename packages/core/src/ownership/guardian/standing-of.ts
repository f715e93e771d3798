/** The parts of a service's table that concern one of its servers. */
import {type View} from '../../config/view.js';
import {hotChanges} from '../hot-keys.js';
import {type SliceTable} from '../slice-table.js';
import {tableInForce} from '../table-in-force.js';
import {type Standing} from './guardian-state.js';

/** What the table in force says about `server` of `service`. */
export function standingOf(
	view: View,
	service: string,
	server: string,
): Standing {
	const table = tableInForce(view, service);
	const rows = (table?.rows ?? []).flatMap((row, slice) =>
		row.owner === server && row.epoch > 0 ? [{...row, slice}] : [],
	);
	return {
		guard: table?.guards[server],
		rows,
		hot: table ? hotChanges(table, server) : [],
		tableVersion: view.versionOf('table', service),
		lost: lostServers(table),
		checksFence: view.get('service', service)?.checksFence ?? true,
	};
}

function lostServers(table: SliceTable | undefined): ReadonlySet<string> {
	const guards = Object.entries(table?.guards ?? {});
	return new Set(guards.filter(([, {lost}]) => lost).map(([server]) => server));
}
