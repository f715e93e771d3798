/**
 * The HTTP/1.1 listener for callers, with its limits. Input that the parser rejects is
 * answered 400 `not-run`, or 408 or 431, unless a request of that connection is already
 * in progress: then the connection is closed, as nothing proves that this request has
 * not run.
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

/** Limits of callers' connections. */
export type EntryBounds = Pick<
	Settings['requests'],
	'maxHeaderLen' | 'headerMs' | 'requestMs' | 'callerIdleMs'
>;

/** A server that passes each request with valid HTTP framing to `handle`. */
export function entryServer(
	settings: EntryBounds,
	handle: RequestListener,
): Server {
	const requestsInProgress = new WeakMap<Duplex, IncomingMessage>();
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
			requestsInProgress.set(req.socket, req);
			res.once('close', () => {
				requestsInProgress.delete(req.socket);
			});
			handle(req, res);
		},
	);
	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		if (requestsInProgress.has(socket) || !socket.writable) {
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
