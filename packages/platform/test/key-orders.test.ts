import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {HttpKeyOrders, type OrderOutcome} from '../src/key-orders.js';
import {SystemClock} from '../src/system-clock.js';

const timeoutMs = 800;
const order = {from: 1, to: 9, fence: 3};
/** Pause between two orders, so that the connection of the first is idle when the second is sent. */
const idleMs = 50;

/** A local address at which nothing listens. */
async function refusingAddress(): Promise<string> {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return `127.0.0.1:${port}`;
}

test('a refused connection does not prove that the server has ended', async (t) => {
	const orders = new HttpKeyOrders(new SystemClock());
	const server = {backendServer: 'a', address: await refusingAddress()};
	const grant = {...order, leaseMs: 5000};
	const granted = await orders.grant(server, grant, timeoutMs);
	t.is(granted.kind, 'unknown');
	const released = await orders.release(server, order, timeoutMs);
	t.is(released.kind, 'unknown');
	await orders.close();
});

type Status = 200 | 409 | 421;

function answerOf(status: Status, handover?: string): string {
	return [
		`HTTP/1.1 ${status} Answer`,
		...(handover ? [`x-kingcuproute-handover: ${handover}`] : []),
		'content-length: 0',
		'\r\n',
	].join('\r\n');
}

/**
 * Starts a faulty server and returns its address. It answers its first order at once.
 * On the second order it writes that answer again on the first connection, and the
 * second order's own answer a little later.
 */
async function repeatingServer(
	t: ExecutionContext,
	firstStatus: Status,
): Promise<string> {
	const workMs = 100;
	let answered: Socket | undefined;
	let firstAnswer = '';
	const server = createServer((socket) => {
		socket.on('error', () => undefined);
		socket.on('data', (bytes) => {
			if (!String(bytes).endsWith('}')) {
				return;
			}

			if (!answered) {
				answered = socket;
				const isRelease = String(bytes).includes('/release ');
				firstAnswer = answerOf(firstStatus, isRelease ? 'first' : undefined);
				socket.write(firstAnswer);
				return;
			}

			if (answered.writable) {
				answered.write(firstAnswer);
			}

			setTimeout(() => {
				socket.write(answerOf(200, 'second'));
			}, workMs);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	return `127.0.0.1:${port}`;
}

const grantOrder = {...order, leaseMs: 5000};
const taken: OrderOutcome = {
	kind: 'taken',
	handover: 'second',
	leaving: false,
};

for (const status of [409, 421] as const) {
	test(`a repeated ${status} is not taken as the answer to the next grant`, async (t) => {
		const address = await repeatingServer(t, status);
		const orders = new HttpKeyOrders(new SystemClock());
		t.teardown(async () => orders.close());
		const former = {backendServer: 'a', address};
		await orders.grant(former, grantOrder, timeoutMs);
		await sleep(idleMs);
		const server = {backendServer: 'b', address};
		t.deepEqual(await orders.grant(server, grantOrder, timeoutMs), taken);
	});
}

for (const earlier of ['grant', 'release'] as const) {
	test(`the repeated answer to an earlier ${earlier} does not release keys that their holder still uses`, async (t) => {
		const address = await repeatingServer(t, 200);
		const orders = new HttpKeyOrders(new SystemClock());
		t.teardown(async () => orders.close());
		const server = {backendServer: 'a', address};
		await orders[earlier](server, grantOrder, timeoutMs);
		await sleep(idleMs);
		t.deepEqual(await orders.release(server, order, timeoutMs), taken);
	});
}

test('orders to a server that does not answer open few connections, and are given up in time', async (t) => {
	let connections = 0;
	const server = createServer((socket) => {
		connections++;
		socket.on('error', () => undefined);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	const orders = new HttpKeyOrders(new SystemClock());
	const target = {backendServer: 'a', address: `127.0.0.1:${port}`};
	const grants = Array.from({length: 20}, async () =>
		orders.grant(target, grantOrder, timeoutMs),
	);
	await sleep(timeoutMs / 2);
	t.true(connections <= 2, `${connections} connections`);
	const ends = await Promise.all(grants);
	t.true(ends.every(({kind}) => kind === 'unknown'));
	await orders.close();
});

test('orders that are reported as never sent do not arrive later, and all others may have arrived', async (t) => {
	let received = '';
	const server = createServer((socket) => {
		socket.on('error', () => undefined);
		socket.on('data', (bytes) => {
			received += String(bytes);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	const orders = new HttpKeyOrders(new SystemClock());
	t.teardown(async () => orders.close());
	const target = {backendServer: 'a', address: `127.0.0.1:${port}`};
	const fences = Array.from({length: 12}, (_, index) => 100 + index);
	const ends = await Promise.all(
		fences.map(async (fence) =>
			orders.grant(target, {...grantOrder, fence}, timeoutMs),
		),
	);
	// A server may read its connections long after the orders have been given up.
	await sleep(timeoutMs);
	const neverSent = fences.filter((_, index) => {
		const end = ends[index];
		return end.kind === 'unknown' && end.neverSent;
	});
	t.true(neverSent.length > 0 && neverSent.length < fences.length);
	for (const fence of neverSent) {
		t.false(received.includes(`"fence":${fence}`), `${fence} arrived`);
	}
});

test('an order for which no connection opens was never sent', async (t) => {
	const orders = new HttpKeyOrders(new SystemClock());
	t.teardown(async () => orders.close());
	const server = {backendServer: 'a', address: await refusingAddress()};
	const end = await orders.grant(server, grantOrder, timeoutMs);
	t.true(end.kind === 'unknown' && end.neverSent);
});
