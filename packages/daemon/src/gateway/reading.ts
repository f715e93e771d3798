/** How the present copy of the objects of one kind was read, and how old it may be. */
import {type Millis} from '@kingcuproute/core';

export type Reading = {
	/** When the store confirmed this copy; -Infinity if it has not. */
	readonly confirmedAt: Millis;
	/** When it last confirmed the copy before; -Infinity if it has not. */
	readonly formerAt: Millis;
	/** When the first of the changes was made, at the earliest; -Infinity if that is not known. */
	readonly changedSince: Millis;
	readonly byPeer: boolean;
};

/** Before the first reading. */
export const unread: Reading = {
	confirmedAt: -Infinity,
	formerAt: -Infinity,
	changedSince: -Infinity,
	byPeer: false,
};

/** The reading in the log, with its times as ages in ms. */
export function readingFields(
	{confirmedAt, formerAt, changedSince, byPeer}: Reading,
	now: Millis,
) {
	return {
		byPeer,
		confirmedMs: Math.round(now - confirmedAt),
		formerMs: Math.round(now - formerAt),
		changedMs: Math.round(now - changedSince),
	};
}
