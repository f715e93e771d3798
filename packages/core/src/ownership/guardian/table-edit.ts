/**
 * Changes that guardians make to a slice table. An edit names the term it was
 * decided in: it can be applied again to any newer table of that term, and does not
 * apply to a table of another term.
 */
import {rendezvous} from '../../chance/hash.js';
import {applyHotChange, type HotChange} from '../hot-keys.js';
import {type Guard, type SliceRow, type SliceTable} from '../slice-table.js';
import {type Succession} from '../succession.js';

/** Replaces the guard of a server; rows stay as they are. */
export type GuardEdit = {
	readonly kind: 'guard';
	readonly server: string;
	readonly term: number;
	readonly guard: Guard;
};

/** Assigns every slice of a lost server to its planned owner, else its standby, else one of `servers`. */
export type EvacuateEdit = {
	readonly kind: 'evacuate';
	readonly server: string;
	readonly term: number;
	readonly guard: Guard;
	/** Owners decided before the write: by a succession that overrides the table, or by a fixed plan. */
	readonly plan: Succession['rows'];
	readonly servers: readonly string[];
};

/** Planned moves of slices that the owner no longer holds. */
export type MoveEdit = {
	readonly kind: 'move';
	readonly server: string;
	readonly term: number;
	readonly slices: ReadonlyArray<{
		readonly slice: number;
		readonly epoch: number;
		readonly to: string;
	}>;
};

/** Gives a hot key a row of its own on the server, or returns the key to its slice. */
export type HotEdit = {
	readonly kind: 'hot';
	readonly server: string;
	readonly term: number;
	readonly change: HotChange;
};

/** One server's change to its service's table. */
export type TableEdit = GuardEdit | EvacuateEdit | MoveEdit | HotEdit;

/** `table` after `edit`, or undefined when the edit no longer applies to it. */
export function applyEdit(
	table: SliceTable,
	edit: TableEdit,
): SliceTable | undefined {
	if (table.guards[edit.server]?.term !== edit.term) {
		return undefined;
	}

	switch (edit.kind) {
		case 'guard': {
			return withGuard(table, edit);
		}

		case 'evacuate': {
			return withGuard({...table, rows: evacuatedRows(table, edit)}, edit);
		}

		case 'move': {
			return withMoves(table, edit);
		}

		case 'hot': {
			return applyHotChange(table, edit.server, edit.change);
		}
	}
}

function withGuard(
	table: SliceTable,
	{server, guard}: GuardEdit | EvacuateEdit,
): SliceTable {
	return {...table, guards: {...table.guards, [server]: guard}};
}

function evacuatedRows(
	{rows, guards}: SliceTable,
	{server, plan, servers}: EvacuateEdit,
): readonly SliceRow[] {
	const planned = new Map(
		plan.map(({slice, owner, epoch}) => [`${slice}@${epoch}`, owner]),
	);
	const availableServers = servers.filter((name) => !guards[name]?.lost);
	return rows.map((row, slice) => {
		if (row.owner !== server) {
			return row.standby === server ? {...row, standby: ''} : row;
		}

		const owner =
			planned.get(`${slice}@${row.epoch + 1}`) ??
			(availableServers.includes(row.standby)
				? row.standby
				: rendezvous(`${server}/${slice}`, availableServers)[0]);
		return owner === undefined
			? row
			: {owner, epoch: row.epoch + 1, standby: ''};
	});
}

function withMoves(table: SliceTable, edit: MoveEdit): SliceTable | undefined {
	const rows = [...table.rows];
	let count = 0;
	for (const {slice, epoch, to} of edit.slices) {
		const row = rows[slice];
		if (row?.owner === edit.server && row.epoch === epoch && row.to === to) {
			const standby = row.standby === to ? '' : row.standby;
			rows[slice] = {owner: to, epoch: epoch + 1, standby};
			count++;
		}
	}

	return count > 0 ? {...table, rows} : undefined;
}
