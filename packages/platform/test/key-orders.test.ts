import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import test from 'ava';
import {HttpKeyOrders} from '../src/key-orders.js';
import {SystemClock} from '../src/system-clock.js';

const timeoutMs = 800;
const order = {from: 1, to: 9, fence: 3};

/** An address of this machine at which nothing listens. */
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
