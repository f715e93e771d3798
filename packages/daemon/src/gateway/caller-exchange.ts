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
