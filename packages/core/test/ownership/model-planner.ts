/** The simulated planner: the table changes it plans, which are written unless the store is down. */
import {type SliceTable} from '../../src/index.js';
import {type Fault} from './model-conditions.js';
import {service} from './model-daemon.js';
import {withCoolingKey, withoutHotKey, withHotKey} from './hot-wishes.js';

const slices = 4;

/** The first table: every server owns slices, and its guard names no run of it yet. */
export function firstTable(
	servers: readonly string[],
	daemons: readonly string[],
): SliceTable {
	const rows = Array.from({length: slices}, (_, slice) => ({
		owner: servers[slice % servers.length],
		epoch: 1,
		standby: servers[(slice + 1) % servers.length],
	}));
	const guards = Object.fromEntries(
		servers.map((server, index) => [
			server,
			{
				term: 1,
				incarnation: '',
				guardian: daemons[index],
				successor: daemons[index + 1],
			},
		]),
	);
	return {service, rows, guards, writer: ''};
}

/** The table with the planner's change, or undefined when there is nothing to change. */
export function withPlannedChange(
	table: SliceTable,
	change: Extract<
		Fault,
		{kind: 'move' | 'handover' | 'heat' | 'drop' | 'cool'}
	>,
	servers: readonly string[],
	daemons: readonly string[],
): SliceTable | undefined {
	switch (change.kind) {
		case 'move': {
			return withMove(table, change.slice, servers[change.to]);
		}

		case 'handover': {
			return withHandover(table, servers[change.server], daemons);
		}

		case 'heat': {
			return withHotKey(table, change.key);
		}

		case 'drop': {
			return withoutHotKey(table, change.key);
		}

		case 'cool': {
			return withCoolingKey(table, change.key);
		}
	}
}

/** The table with a planned move of a slice to `to`. */
function withMove(
	table: SliceTable,
	at: number,
	to: string,
): SliceTable | undefined {
	const rows = [...table.rows];
	const slice = at % rows.length;
	const {to: old, ...row} = rows[slice];
	if (row.owner === '') {
		return undefined;
	}

	rows[slice] = to === row.owner ? row : {...row, to};
	return {...table, rows};
}

/** The table with a planned hand-over of a server to two other daemons. */
function withHandover(
	table: SliceTable,
	server: string,
	daemons: readonly string[],
): SliceTable {
	const guard = table.guards[server];
	const [guardian, successor] = daemons.filter(
		(id) => id !== guard.guardian && id !== guard.successor,
	);
	const next = {...guard, next: {guardian, successor}};
	return {...table, guards: {...table.guards, [server]: next}};
}
