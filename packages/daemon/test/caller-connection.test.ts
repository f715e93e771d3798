import {once} from 'node:events';
import {
	createServer,
	type IncomingMessage,
	type ServerResponse,
} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {
	CallerConnection,
	type Turn,
} from '../src/requests/caller-connection.js';

type Arrived = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly turn: Turn;
};

/** Two requests that a caller sent together on a connection of its own. */
async function arrivedTogether(
	t: ExecutionContext,
	version: string,
): Promise<readonly [Arrived, Arrived]> {
	const arrived: Arrived[] = [];
	const server = createServer();
	const both = new Promise<void>((resolve) => {
		server.on('request', (req: IncomingMessage, res: ServerResponse) => {
			const turn = CallerConnection.of(req.socket).enter(req, res);
			if (arrived.push({req, res, turn}) === 2) {
				resolve();
			}
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
	t.teardown(() => {
		caller.destroy();
		server.close();
	});
	const head = `HTTP/${version}\r\nhost: shop.example\r\nconnection: keep-alive\r\n\r\n`;
	caller.write(`GET /read ${head}GET /book ${head}`);
	await both;
	return [arrived[0], arrived[1]];
}

test('behind an answer that a planned stop closes the connection with, nothing starts', async (t) => {
	const [read, book] = await arrivedTogether(t, '1.1');
	t.true(await read.turn.whenMayStart('safe'));
	const mayStart = book.turn.whenMayStart('unsafe');
	t.true(read.turn.mayClose());
	read.res.shouldKeepAlive = false;
	read.res.end('read');
	t.false(await mayStart);
	t.false(book.turn.hasStarted);
});

test('behind an answer without a length that ends with its connection, nothing starts', async (t) => {
	const [read, book] = await arrivedTogether(t, '1.0');
	t.true(await read.turn.whenMayStart('safe'));
	const mayStart = book.turn.whenMayStart('unsafe');
	read.res.write('re');
	read.res.end('ad');
	t.false(await mayStart);
	t.false(book.turn.hasStarted);
});
