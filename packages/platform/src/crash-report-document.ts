/** What a daemon knows of requests that may crash servers, in the form stored on the platform. */
import {validate, type CrashEvent, type Validated} from '@kingcuproute/core';
import {z} from 'zod';

/** Each daemon that lost requests at a crash has an object of this kind. */
export const crashReportsKind = 'kingcuproute-crash-reports';

const maxTextLen = 1000;
const text = z.string().max(maxTextLen);
const event = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('crash'),
		at: z.number(),
		run: text,
		fingerprints: z.array(text),
	}),
	z.object({kind: z.literal('answer'), at: z.number(), fingerprint: text}),
]);
const report = z.object({events: z.array(event)});

/** Parses the events that a daemon reported. */
export function parseCrashReport(
	spec: unknown,
): Validated<readonly CrashEvent[]> {
	return validate(report, spec).map(({events}) => events);
}

export function crashReportSpec(events: readonly CrashEvent[]): unknown {
	return {events};
}
