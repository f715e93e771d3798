import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {SeededRandom, type BackendServer} from '@kingcuproute/core';
import {SystemClock} from '@kingcuproute/platform';
import {ServerPolls} from '../src/balance/server-polls.js';
import {CrashEvidence} from '../src/requests/quarantine/crash-evidence.js';

const trickleMs = 20;

/** The address of a server whose answers' bodies come byte by byte, without end. */
async function tricklingAddress(t: ExecutionContext): Promise<string> {
	const sockets = new Set<Socket>();
	const server = createServer((socket) => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write('HTTP/1.1 200 OK\r\n\r\n');
			const timer = setInterval(() => {
				socket.write(' ');
			}, trickleMs);
			socket.once('close', () => {
				clearInterval(timer);
			});
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

test('a server whose health never ends is heard of as one that says nothing', async (t) => {
	t.timeout(20_000);
	const address = await tricklingAddress(t);
	const options = {pollMs: 100, maxPolls: 1};
	const polls = new ServerPolls(
		options,
		new SystemClock(),
		new SeededRandom(1),
	);
	t.teardown(() => {
		polls.stop();
	});
	const server: BackendServer = {
		backendServer: 'a',
		service: 's',
		failureDomain: 'd',
		address,
		out: false,
	};
	polls.follow([server]);
	const heard = await new Promise<unknown>((resolve) => {
		polls.start((_server, report) => {
			resolve(report);
		});
	});
	t.like(heard, {cold: undefined, inFlight: undefined});
});

test('a server whose health never ends is not proved to have crashed, and soon', async (t) => {
	t.timeout(20_000);
	const evidence = new CrashEvidence(new SystemClock());
	t.false(await evidence.crashed(await tricklingAddress(t)));
});
