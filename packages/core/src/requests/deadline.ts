/** A caller's deadline: how much longer it waits, in ms, from its request's header. */
import {type Millis} from '../time/clock.js';

export const deadlineField = 'x-kingcup-deadline-ms';

const maxDeadlineMs: Millis = 600_000;

/**
 * The time allowed to a request, in ms, or undefined when the header is malformed.
 * Without a header it is the service's `defaultMs`.
 */
export function deadlineOf(
	header: string | undefined,
	defaultMs: Millis,
): Millis | undefined {
	if (header === undefined) {
		return defaultMs;
	}

	return /^\d{1,9}$/.test(header)
		? Math.min(maxDeadlineMs, Number(header))
		: undefined;
}
