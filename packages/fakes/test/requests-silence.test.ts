import {connect, type Socket} from 'node:net';
import test from 'ava';
import {Link} from '../src/index.js';
import {send, startCluster} from './requests-fixture.js';

const idleMs = 1000;
/** The timeout plus its check interval of one second, doubled for a busy machine. */
const closeTimeoutMs = 2 * (idleMs + 1000);

const lines = [
	'GET /kaha/silent HTTP/1.1',
	'host: entry',
	'x-customer: tiktak-haus',
	'x-key: heirloom-7',
];
const completeRequest = `${lines.join('\r\n')}\r\n\r\n`;
const partialHeader = `${lines.join('\r\n')}\r\n`;
const partialBody = `${lines.join('\r\n').replace('GET', 'POST')}\r\ncontent-length: 10\r\n\r\nhalf`;

function open(address: string): Socket {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	socket.on('error', () => undefined);
	return socket;
}

async function nextData(socket: Socket): Promise<string> {
	return new Promise((resolve) => {
		socket.once('data', (bytes) => {
			resolve(String(bytes));
		});
	});
}

async function closedWithin(socket: Socket, ms: number): Promise<boolean> {
	return new Promise((resolve) => {
		const timer = setTimeout(() => {
			resolve(false);
		}, ms);
		socket.once('close', () => {
			clearTimeout(timer);
			resolve(true);
		});
	});
}

test("callers' connections that fall silent are closed within their timeouts, and new ones are served", async (t) => {
	const {entry} = await startCluster(t, {
		settings: {
			requests: {callerIdleMs: idleMs, headerMs: idleMs, requestMs: idleMs},
		},
	});
	const link = new Link(entry);
	t.teardown(async () => link.close());
	const linkAddress = await link.listen();
	const sockets = Array.from({length: 4}, () => open(linkAddress));
	const [idle, mute, inHeader, inBody] = sockets;
	idle.write(completeRequest);
	t.regex(await nextData(idle), /^HTTP\/1.1 200 /);
	inHeader.write(partialHeader);
	inBody.write(partialBody);
	const lastSent = open(linkAddress);
	lastSent.write(completeRequest);
	t.regex(await nextData(lastSent), /^HTTP\/1.1 200 /);
	const closed = sockets.map(async (socket) =>
		closedWithin(socket, closeTimeoutMs),
	);
	link.setFaults({silentTo: true, silentFrom: true});
	idle.write(completeRequest);
	let late = '';
	idle.on('data', (bytes) => {
		late += String(bytes);
	});
	t.deepEqual(await Promise.all(closed), [true, true, true, true]);
	t.is(late, '');
	t.true(mute.destroyed);
	const {status} = await send(entry, 'GET', '/kaha/fresh');
	t.is(status, 200);
});
