/**
 * Encodes and decodes the tables of a push: only the changes are sent if the sender
 * held an earlier version. A receiver that holds another version than the changes
 * are based on learns so from `misses`, and pulls the whole table.
 */
import {
	diffTables,
	tableChangeSchema,
	applyTableChange,
	type VersionedObject,
	type SliceTable,
	type TableChange,
	type View,
} from '@kingcuproute/core';
import {
	type ObjectMessage,
	type PushMessage,
	type TableChangeMessage,
} from '@kingcuproute/mesh';
import {objectMessage, objectsOf} from './messages.js';

/** Changed rows and guards per row of the table above which the whole table is sent. */
const maxChangeShare = 0.25;

/** Objects of a push, each sent whole or as a change. */
export type PushPayload = {
	readonly objects: readonly ObjectMessage[];
	readonly changes: readonly TableChangeMessage[];
};

/** Objects decoded from a push. */
export type DecodedPush = {
	readonly objects: readonly VersionedObject[];
	/** Whether a change was based on a version that is not held here. */
	readonly misses: boolean;
};

/** Encodes `objects` for peers that most likely hold what this daemon held `before`. */
export function encodePush(
	objects: readonly VersionedObject[],
	before: View,
): PushPayload {
	const encoded = objects.map((held) => ({
		held,
		change: changeMessage(held, before),
	}));
	return {
		objects: encoded
			.filter(({change}) => change === undefined)
			.map(({held}) => objectMessage(held)),
		changes: encoded.flatMap(({change}) => change ?? []),
	};
}

/** Decodes a push and applies each change to the version held; throws if a part does not match its schema. */
export function decodePush(
	{objects, changes}: PushMessage,
	view: View,
): DecodedPush {
	const newer = (changes ?? []).filter(
		({service, version}) => (version ?? 0) > heldVersion(view, service),
	);
	const applicable = newer.filter(
		({service, base}) => base === heldVersion(view, service),
	);
	return {
		objects: [
			...objectsOf(objects),
			...applicable.flatMap((message) => withChange(message, view) ?? []),
		],
		misses: applicable.length < newer.length,
	};
}

function changeMessage(
	{kind, name, version, value}: VersionedObject,
	before: View,
): TableChangeMessage | undefined {
	const base = before.versionOf('table', name);
	const baseTable = before.get('table', name);
	if (kind !== 'table' || !value || !baseTable || base >= version) {
		return undefined;
	}

	const change = diffTables(baseTable, value as SliceTable);
	return isSmall(change)
		? {service: name, version, base, change: JSON.stringify(change)}
		: undefined;
}

function isSmall({rows, guards, rowCount}: TableChange): boolean {
	return rows.length + guards.length <= rowCount * maxChangeShare;
}

function withChange(
	{service, version, change}: TableChangeMessage,
	view: View,
): VersionedObject | undefined {
	const table = view.get('table', service ?? '');
	return (
		table && {
			kind: 'table',
			name: service ?? '',
			version: version ?? 0,
			value: applyTableChange(
				table,
				tableChangeSchema.parse(JSON.parse(change ?? '')),
			),
		}
	);
}

function heldVersion(
	view: View,
	service: TableChangeMessage['service'],
): number {
	return view.versionOf('table', service ?? '');
}
