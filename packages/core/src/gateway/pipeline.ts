/**
 * Which requests of one caller's connection may be in progress together. A caller may
 * send requests before earlier ones are answered, and gets the answers in the order of
 * its requests. If the connection closes in between, it takes the unanswered ones for
 * unread and sends them again, whatever they are. So a request that must not run twice
 * starts only as the first of its connection, and so does one behind such a request.
 */
import {type Repeatability} from './route-rule.js';

/** Requests of one connection that may be in progress at a time. */
const maxInProgress = 8;

/** Whether a request may be sent to a server. `ahead` are the unanswered requests before it; undefined stands for one that is not routed yet. */
export function mayStartBehind(
	ahead: ReadonlyArray<Repeatability | undefined>,
	next: Repeatability,
): boolean {
	return (
		ahead.length === 0 ||
		(ahead.length < maxInProgress &&
			next === 'safe' &&
			ahead.every((repeatability) => repeatability === 'safe'))
	);
}
