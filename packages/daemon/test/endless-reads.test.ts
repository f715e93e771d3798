import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {SeededRandom, type BackendServer} from '@kingcuproute/core';
import {SystemClock} from '@kingcuproute/platform';
import {ServerPolls} from '../src/balance/server-polls.js';
import {CrashEvidence} from '../src/requests/quarantine/crash-evidence.js';

const trickleMs = 20;

/** The address of a server that sends the bodies of its answers byte by byte, without end. */
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

test('a server whose health answer never ends is reported without any values', async (t) => {
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
	polls.setServers([server]);
	const reported = await new Promise<unknown>((resolve) => {
		polls.start((_server, report) => {
			resolve(report);
		});
	});
	t.like(reported, {cold: undefined, inFlight: undefined});
});

test('a health answer that never ends is soon counted as no proof of a crash', async (t) => {
	t.timeout(20_000);
	const evidence = new CrashEvidence(new SystemClock());
	t.false(await evidence.hasCrashed(await tricklingAddress(t)));
});
