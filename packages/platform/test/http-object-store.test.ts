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

/** A store that answers lists and leaves watches waiting; its open connections can go silent. */
async function silenceableStore() {
	const silent = new Set<Socket>();
	const open = new Set<Socket>();
	const server = createServer((socket) => {
		open.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => open.delete(socket));
		socket.on('data', (bytes) => {
			const isPoll = /waitMs=[1-9]/.test(String(bytes));
			if (!silent.has(socket) && !isPoll) {
				setTimeout(() => {
					socket.write(pageAt(1));
				}, 10);
			}
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const store = new HttpObjectStore(`127.0.0.1:${port}`, new SystemClock());
	return {
		store,
		silence() {
			for (const socket of open) {
				silent.add(socket);
			}
		},
		async stop() {
			await store.close();
			server.close();
		},
	};
}

// Each call used to find out anew, 1 to 1.5 s a time, that a connection kept open was dead, and long polls never did.
test('once a call on a silent connection is given up, long polls end and later calls use new connections', async (t) => {
	const {store, silence, stop} = await silenceableStore();
	t.teardown(stop);
	await Promise.all([store.list('a'), store.list('b'), store.list('c')]);
	const poll = store.watch('a', 1, 15_000);
	await new Promise((resolve) => {
		setTimeout(resolve, 50);
	});
	silence();
	const silencedAt = performance.now();
	const check = await store.watch('a', 1, 0, true);
	t.true(check.isLeft());
	const ended = await poll;
	t.true(ended.isLeft());
	t.true(performance.now() - silencedAt < 1500);
	const renewedAt = performance.now();
	for (let count = 0; count < 3; count++) {
		const listed = await store.list('a');
		t.true(listed.isRight());
	}

	t.true(performance.now() - renewedAt < 1000);
});
