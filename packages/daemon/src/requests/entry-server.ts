/**
 * The HTTP/1.1 listener for callers, with its bounds. What the parser refuses is
 * answered 400 `not-run`, unless a request of that connection is already under way:
 * then the connection is cut, since nothing is proved of that request.
 */
import {
	createServer,
	type IncomingMessage,
	type RequestListener,
	type Server,
} from 'node:http';
import {type Duplex} from 'node:stream';
import {type Millis} from '@kingcuproute/core';
import {type Settings} from '../settings/settings.js';

const tcpKeepAliveMs: Millis = 5000;
const checkMs: Millis = 1000;

const statusLines: Readonly<Record<string, string>> = Object.fromEntries([
	['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
	['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
]);

/** Bounds of callers' connections. */
export type EntryBounds = Pick<
	Settings['requests'],
	'maxHeaderLen' | 'headerMs' | 'requestMs' | 'callerIdleMs'
>;

/** A listener that hands each well-framed request to `take`. */
export function entryServer(
	settings: EntryBounds,
	take: RequestListener,
): Server {
	const busy = new WeakMap<Duplex, IncomingMessage>();
	const server = createServer(
		{
			requireHostHeader: false,
			maxHeaderSize: settings.maxHeaderLen,
			headersTimeout: settings.headerMs,
			requestTimeout: settings.requestMs,
			keepAliveTimeout: settings.callerIdleMs,
			connectionsCheckingInterval: checkMs,
			keepAlive: true,
			keepAliveInitialDelay: tcpKeepAliveMs,
			noDelay: true,
		},
		(req, res) => {
			busy.set(req.socket, req);
			res.once('close', () => {
				busy.delete(req.socket);
			});
			take(req, res);
		},
	);
	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		if (busy.has(socket) || !socket.writable) {
			socket.destroy();
			return;
		}

		socket.end(refusalText(error));
	});
	return server;
}

function refusalText({code = '', message}: NodeJS.ErrnoException): string {
	const body = JSON.stringify({
		reason: 'bad-request',
		ran: 'not-run',
		message,
	});
	return [
		`HTTP/1.1 ${statusLines[code] ?? '400 Bad Request'}`,
		'connection: close',
		'content-type: application/json',
		`content-length: ${body.length}`,
		'x-kingcup-ran: not-run',
		'x-kingcup-reason: bad-request',
		'',
		body,
	].join('\r\n');
}
