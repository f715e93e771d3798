import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {SystemClock} from '@kingcuproute/platform';
import {request} from 'undici';
import {ServerConnections} from '../src/requests/server-connections.js';

const bounds = {
	maxHeaderLen: 65_536,
	maxConnections: 1,
	connectMs: 5000,
	serverIdleMs: 4000,
};
const unframed = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf of it';

/** Asks a server that begins an answer without a length; `end` ends its connection once that is here. */
async function answerEnding(
	t: ExecutionContext,
	end: (socket: Socket) => void,
): Promise<string> {
	let accepted: Socket | undefined;
	const server = createServer((socket) => {
		accepted = socket;
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(unframed);
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
	const address = `127.0.0.1:${port}`;
	const dispatcher = connections.to(address, 1);
	const res = await request(`http://${address}/`, {dispatcher});
	end(accepted!);
	return res.body.text();
}

test('an answer without a length that ends with its connection is whole', async (t) => {
	const text = await answerEnding(t, (socket) => socket.end());
	t.is(text, 'half of it');
});

test('an answer without a length that ends with a reset is not whole', async (t) => {
	await t.throwsAsync(
		answerEnding(t, (socket) => socket.resetAndDestroy()),
		{message: /ECONNRESET/},
	);
});
