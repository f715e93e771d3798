import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {SystemClock} from '@kingcuproute/platform';
import {
	type IdentifiedRequest,
	type ServerConnection,
} from '../src/requests/server-connection.js';
import {ServerConnections} from '../src/requests/server-connections.js';

const bounds = {
	maxHeaderLen: 65_536,
	maxConnections: 1,
	connectMs: 5000,
	serverIdleMs: 4000,
};
const unframed = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf of it';

function requestOf(
	id: string,
	onConnection: (connection: ServerConnection) => void = () => undefined,
): IdentifiedRequest {
	return {id, onConnection, method: 'GET', path: `/${id}`};
}

type Ending = {
	/** Ends the connection as soon as the server has written its answer. */
	readonly written?: (socket: Socket) => void;
	/** Ends it once the bytes of the answer have been received. */
	readonly received?: (socket: Socket) => void;
};

/** How an answer without a length is reported if its connection ends like this. */
async function reportedEnd(
	t: ExecutionContext,
	{written, received}: Ending,
): Promise<'whole' | 'reset'> {
	let accepted: Socket | undefined;
	const server = createServer((socket) => {
		accepted = socket;
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(unframed, () => written?.(socket));
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const connections = new ServerConnections(bounds, new SystemClock());
	t.teardown(async () => {
		await connections.close();
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	const dispatcher = connections.to(`127.0.0.1:${port}`, 1);
	return new Promise((resolve) => {
		dispatcher.dispatch(requestOf('a'), {
			onRequestStart() {
				// Nothing to do: the request may run.
			},
			onResponseStart() {
				// The status and headers do not matter here.
			},
			onResponseData() {
				received?.(accepted!);
			},
			onResponseEnd() {
				resolve(connections.endIsReset ? 'reset' : 'whole');
			},
			onResponseError() {
				resolve('reset');
			},
		});
	});
}

const end = (socket: Socket) => {
	socket.end();
};

const reset = (socket: Socket) => {
	socket.resetAndDestroy();
};

test('an answer without a length that ends with its connection is complete', async (t) => {
	t.is(await reportedEnd(t, {written: end}), 'whole');
	t.is(await reportedEnd(t, {received: end}), 'whole');
});

test('an answer without a length that ends with a reset is not complete', async (t) => {
	t.is(await reportedEnd(t, {received: reset}), 'reset');
});

test('a reset that arrives together with the answer is detected', async (t) => {
	t.is(await reportedEnd(t, {written: reset}), 'reset');
});

test('a request whose id was declined on a connection is sent over a new one; other requests stay on the open one', async (t) => {
	const carried: string[] = [];
	let opened = 0;
	const server = createServer((socket) => {
		const number = ++opened;
		socket.on('error', () => undefined);
		socket.on('data', (bytes) => {
			carried.push(`${String(bytes).slice(5, 6)}${number}`);
			socket.write('HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n');
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const connections = new ServerConnections(bounds, new SystemClock());
	t.teardown(async () => {
		await connections.close();
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	const dispatcher = connections.to(`127.0.0.1:${port}`, 1);
	const decline = async (id: string): Promise<void> =>
		new Promise((resolve, reject) => {
			let carrier: ServerConnection | undefined;
			const onConnection = (connection: ServerConnection) => {
				carrier = connection;
			};

			dispatcher.dispatch(requestOf(id, onConnection), {
				onRequestStart() {
					// Nothing to do: the request may run.
				},
				onResponseStart() {
					carrier!.declined(id);
				},
				onResponseEnd() {
					resolve();
				},
				onResponseError(_controller, error) {
					reject(error);
				},
			});
		});
	for (const id of ['a', 'b', 'a', 'b', 'c', 'a', 'a']) {
		await decline(id);
	}

	t.deepEqual(carried, ['a1', 'b1', 'a2', 'b2', 'c2', 'a3', 'a4']);
});
