import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test from 'ava';
import {HttpObjectStore} from '../src/http-object-store.js';
import {SystemClock} from '../src/system-clock.js';

function pageAt(revision: number): string {
	const body = JSON.stringify({items: [], storeRevision: revision});
	return `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

test('an answer that arrives after its call timed out is not used for the next call', async (t) => {
	const lateRevision = 1;
	const ownRevision = 2;
	const workMs = 50;
	let unanswered: Socket | undefined;
	const server = createServer((socket) => {
		socket.on('error', () => undefined);
		socket.on('data', () => {
			if (!unanswered) {
				unanswered = socket;
				return;
			}

			if (unanswered.writable) {
				unanswered.write(pageAt(lateRevision));
			}

			setTimeout(() => {
				socket.write(pageAt(ownRevision));
			}, workMs);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const store = new HttpObjectStore(`127.0.0.1:${port}`, new SystemClock());
	t.teardown(async () => {
		await store.close();
		server.close();
	});
	const timedOut = await store.list('k');
	t.true(timedOut.isLeft());
	const listed = await store.list('k');
	t.is(listed.unsafeCoerce().revision, ownRevision);
});
