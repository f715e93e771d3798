/** A slice table at full size, and what handing it on takes. */
import {deflateRawSync} from 'node:zlib';
import {
	diffTables,
	hash32,
	kindSchemas,
	Replica,
	tableChangeSchema,
	applyTableChange,
	type VersionedObject,
	type SliceTable,
} from '@kingcuproute/core';
import {heapOf} from './heap.js';
import {time, type Piece} from './piece.js';

const slices = 4096;
const serversPerTable = 500;
const longestName = 'x'.repeat(60);

/** One table of 4,096 rows and 500 servers: its bytes, and the time of each step of handing it on. */
export function tablePieces(): readonly Piece[] {
	const table = tableOf();
	const json = JSON.stringify(table);
	const stored: VersionedObject = {
		kind: 'table',
		name: 'ticket-desk',
		version: 1,
		value: table,
	};
	const size = slices;
	return [
		{name: 'table: JSON', size, bytes: json.length},
		{
			name: 'table: JSON with the longest names',
			size,
			bytes: JSON.stringify(tableOf(longestName)).length,
		},
		{name: 'table: deflated', size, bytes: deflateRawSync(json).length},
		{name: 'table: deflate', size, ms: time(() => deflateRawSync(json))},
		{name: 'table: serialise', size, ms: time(() => JSON.stringify(table))},
		{
			name: 'table: parse and check',
			size,
			ms: time(() => kindSchemas.table.parse(JSON.parse(json))),
		},
		{
			name: 'table: take into a view',
			size,
			ms: time(() => Replica.empty.with([stored])),
		},
		...changePieces(table),
		{
			name: 'table: heap',
			size,
			heapMegabytes: heapOf(() => JSON.parse(json) as unknown),
		},
	];
}

/** One guard that changes: what most writes of a table are. */
function changePieces(table: SliceTable): readonly Piece[] {
	const [server] = Object.keys(table.guards);
	const guard = {...table.guards[server], term: 13};
	const whole = JSON.stringify(table);
	const read = kindSchemas.table.parse(JSON.parse(whole));
	const next = {...read, guards: {...read.guards, [server]: guard}};
	const change = diffTables(table, next);
	const json = JSON.stringify(change);
	const received = applyTableChange(table, change);
	const size = slices;
	return [
		{name: 'table: change of a guard', size, bytes: json.length},
		{
			name: 'table: find that change in a table just read',
			size,
			ms: time(() => JSON.stringify(diffTables(table, next))),
		},
		{
			name: 'table: find it again to hand it on',
			size,
			ms: time(() => JSON.stringify(diffTables(table, received))),
		},
		{
			name: 'table: check that change and lay it over',
			size,
			ms: time(() =>
				applyTableChange(table, tableChangeSchema.parse(JSON.parse(json))),
			),
		},
	];
}

function tableOf(prefix = 'ticket-desk-'): SliceTable {
	const server = (index: number) => `${prefix}${index % serversPerTable}`;
	const guards = Array.from({length: serversPerTable}, (_, index) => [
		server(index),
		{
			term: 12,
			incarnation: '3y9vll16f',
			guardian: `vm-${index}.3y9vll16f`,
			successor: `vm-${index + 7}.15baslbsw2`,
		},
	]);
	return {
		service: 'ticket-desk',
		rows: Array.from({length: slices}, (_, index) => ({
			owner: server(hash32(`owner ${index}`)),
			epoch: 1 + (hash32(`epoch ${index}`) % 100),
			standby: server(hash32(`standby ${index}`)),
		})),
		guards: Object.fromEntries(guards) as SliceTable['guards'],
		writer: 'vm-1.3y9vll16f',
	};
}
