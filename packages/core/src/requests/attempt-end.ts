/**
 * How one attempt at a backend server ended, classified by what that proves about
 * whether the request ran there.
 */
import {type Ran} from './refusal.js';

/** No byte of the request was handed to the operating system: the connection was refused or not made in time. */
export type Unsent = {
	readonly kind: 'unsent';
	readonly message: string;
	/** True if the server's host answered that nobody listens. */
	readonly refused?: boolean;
	/** True if the request was taken back while it waited for a connection: the server may not get it any more. */
	readonly withdrawn?: boolean;
};

/** The server itself reported that it did not run the request. */
export type Declined = {
	readonly kind: 'declined';
	readonly status: number;
	readonly message: string;
	/** How long the server asks to wait before a retry, in ms. */
	readonly retryAfterMs?: number;
};

/** A byte of the request may have reached the server, and no complete answer came back. */
export type Lost = {
	readonly kind: 'lost';
	readonly message: string;
	/** True when nothing at all came back before the timeout. */
	readonly silent: boolean;
	/** True when the connection broke while the request was in flight. */
	readonly reset: boolean;
};

/** The caller has the complete answer. */
export type Answered = {readonly kind: 'answered'; readonly status: number};

/** The caller got part of an answer that cannot be completed; the caller's connection is closed. */
export type Cut = {readonly kind: 'cut'; readonly message: string};

/** The caller disconnected before an answer. */
export type Cancelled = {readonly kind: 'cancelled'};

export type AttemptEnd = Unsent | Declined | Lost | Answered | Cut | Cancelled;

/** Whether the request may have run in an attempt that ended this way; `not-run` only if that is proved. */
export function ranAfter(end: AttemptEnd): Ran {
	return end.kind === 'unsent' || end.kind === 'declined'
		? 'not-run'
		: 'unknown';
}
