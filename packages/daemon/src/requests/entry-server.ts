/**
 * The HTTP/1.1 listener for callers, with its limits. Input that the parser rejects is
 * answered 400 `not-run`, or 408 or 431, once the requests before it have been answered.
 * If it is a part of a request that has begun, the connection is closed instead, as
 * nothing proves that this request has not run.
 */
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {type Duplex} from 'node:stream';
import {type Millis} from '@kingcuproute/core';
import {type Settings} from '../settings/settings.js';
import {CallerConnection, type Turn} from './caller-connection.js';

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

/** Handles a request; `turn` is its place among those of its connection. */
export type EntryHandler = (
	req: IncomingMessage,
	res: ServerResponse,
	turn: Turn,
) => void;

/** A server that passes each request with valid HTTP framing to `handle`. */
export function entryServer(
	settings: EntryBounds,
	handle: EntryHandler,
): Server {
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
			handle(req, res, CallerConnection.of(req.socket).enter(req, res));
		},
	);
	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		answerMalformed(socket, error);
	});
	return server;
}

function answerMalformed(socket: Duplex, error: NodeJS.ErrnoException): void {
	const connection = CallerConnection.of(socket);
	if (!socket.writable) {
		socket.destroy();
		return;
	}

	connection.afterAnswers(() => {
		if (connection.isBusy || !socket.writable) {
			socket.destroy();
		} else {
			socket.end(refusalText(error));
		}
	});
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
