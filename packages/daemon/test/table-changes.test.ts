import test from 'ava';
import {View, type VersionedObject, type SliceTable} from '@kingcuproute/core';
import {
	encodePush,
	decodePush,
	type PushPayload,
	type DecodedPush,
} from '../src/fleet/table-changes.js';

const service = 'ticket-desk';

function tableOf(epochs: readonly number[]): SliceTable {
	return {
		service,
		rows: epochs.map((epoch) => ({owner: 's-1', epoch, standby: 's-2'})),
		guards: {},
		writer: 'vm-1.a',
	};
}

function tableObject(
	version: number,
	epochs: readonly number[],
): VersionedObject {
	return {kind: 'table', name: service, version, value: tableOf(epochs)};
}

function decode({objects, changes}: PushPayload, view: View): DecodedPush {
	return decodePush({objects: [...objects], changes: [...changes]}, view);
}

const before = View.empty.with([tableObject(7, [1, 1, 1, 1])]);
const after = tableObject(9, [1, 2, 1, 1]);

test('a table with few changes is sent as a change, and applied to the same version', (t) => {
	const payload = encodePush([after], before);
	t.is(payload.objects.length, 0);
	t.is(payload.changes.length, 1);
	t.deepEqual(decode(payload, before), {objects: [after], misses: false});
});

test('a change to a version that is not held yields nothing and is reported as a miss', (t) => {
	const payload = encodePush([after], before);
	const nothing = {objects: [], misses: true};
	t.deepEqual(decode(payload, View.empty), nothing);
	const other = View.empty.with([tableObject(8, [1, 1, 1, 1])]);
	t.deepEqual(decode(payload, other), nothing);
});

test('a change that leads to a version already held is ignored', (t) => {
	const payload = encodePush([after], before);
	const newer = before.with([after]);
	t.deepEqual(decode(payload, newer), {objects: [], misses: false});
});

test('a table that has changed much, is new or is deleted is sent whole', (t) => {
	const manyChanges = tableObject(9, [2, 2, 2, 1]);
	const deleted: VersionedObject = {kind: 'table', name: service, version: 9};
	for (const [object, view] of [
		[manyChanges, before],
		[after, View.empty],
		[deleted, before],
	] as const) {
		const payload = encodePush([object], view);
		t.is(payload.changes.length, 0);
		t.deepEqual(decode(payload, view), {objects: [object], misses: false});
	}
});
