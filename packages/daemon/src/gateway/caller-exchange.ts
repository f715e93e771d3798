/** A caller's request, its response, and its place among the requests of the connection. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Turn} from '../requests/caller-connection.js';
import {type ExchangeContext} from './exchange-context.js';

export type CallerExchange = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly turn: Turn;
};

/**
 * Lets the connection close after this answer if the daemon is stopping. Call it before
 * the header is written. The connection stays open while requests that were sent ahead
 * are in progress, as the caller would take them for unread.
 */
export function closeIfStopping(
	{stopPlan}: ExchangeContext,
	{res, turn}: CallerExchange,
): void {
	if (stopPlan() && turn.mayClose()) {
		res.shouldKeepAlive = false;
	}
}

/** Turns of the event loop it takes to read the end of a connection, close it and emit the close event. */
const turnsUntilClose = 4;

/**
 * Lets the event loop run on. In a daemon that has fallen behind, the end of a caller's
 * connection may already wait right behind its request.
 */
export async function untilCloseIsRead(): Promise<void> {
	for (let turn = 0; turn < turnsUntilClose; turn++) {
		await new Promise(setImmediate);
	}
}
