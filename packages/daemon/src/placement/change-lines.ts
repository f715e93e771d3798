/** Converts a plan's changes to log lines: one for each decision, naming all slices that it affects. */
import {type Change} from '@kingcuproute/core';
import {type LogFields} from '../log/log.js';

/** The log line of a placement decision. */
export type ChangeLine = {readonly event: string; readonly fields: LogFields};

const events: Readonly<Record<Change['kind'], string>> = {
	assign: 'slices-assigned',
	move: 'move-planned',
	withdraw: 'move-withdrawn',
	standby: 'standby-planned',
	guard: 'guard-planned',
	handover: 'handover-planned',
	heat: 'hot-key-named',
	cool: 'hot-key-cooling',
	drop: 'hot-key-dropped',
};

/** The log lines of a plan's changes, in order of their first slice. */
export function changeLines(changes: readonly Change[]): readonly ChangeLine[] {
	const groups = new Map<string, {change: Change; slices: number[]}>();
	for (const change of changes) {
		const {slice, ...rest} =
			'slice' in change ? change : {...change, slice: undefined};
		const groupId = JSON.stringify(rest);
		const group = groups.get(groupId) ?? {change, slices: []};
		groups.set(groupId, group);
		if (slice !== undefined) {
			group.slices.push(slice);
		}
	}

	return [...groups.values()].map(({change, slices}) =>
		changeLine(change, slices),
	);
}

function changeLine(change: Change, slices: readonly number[]): ChangeLine {
	const {kind, ...rest} = change;
	const fields = 'slice' in rest ? {...rest, slice: undefined} : rest;
	const sliceFields = slices.length > 0 && {
		count: slices.length,
		slices: slices.join(' '),
	};
	return {event: events[kind], fields: {...fields, ...sliceFields}};
}
