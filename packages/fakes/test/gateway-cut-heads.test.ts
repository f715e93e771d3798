import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {createSite, type Site} from './gateway-site.js';

const body = 'the whole answer';
const idField = 'x-kingcuproute-request-id';

/** Heads of an answer, from the status line on, by how they show where its body ends. */
const framings: Readonly<Record<string, readonly string[]>> = {
	length: [`content-length: ${body.length}`],
	'a length in the first field': [`content-length: ${body.length}`, 'x-a: b'],
	'a length and a close': [
		'connection: close',
		`content-length: ${body.length}`,
	],
	'the end of the connection': ['connection: close'],
	chunks: ['transfer-encoding: chunked'],
	'a length after an informational answer': [`content-length: ${body.length}`],
};

type Cut = {
	readonly framing: string;
	/** How many bytes of the head are sent. */
	readonly len: number;
	readonly how: 'end' | 'reset';
	/** Whether the connection has carried a whole answer before. */
	readonly reused: boolean;
};

function headOf(framing: string, id: string): string {
	const informational = framing.includes('informational')
		? 'HTTP/1.1 103 Early Hints\r\nlink: <a>\r\n\r\n'
		: '';
	const fields = [
		...framings[framing],
		`${idField}: ${id}`,
		'x-kingcuproute-server-stamp: signed',
		'x-kingcuproute-server-load: 1,0,3',
	];
	return `${informational}HTTP/1.1 200 OK\r\n${fields.join('\r\n')}\r\n\r\n`;
}

/** A server that answers whole unless told to cut the head of its next answer; registered as the site's only one. */
class CuttingServer {
	cut: Cut | undefined;
	readonly #sockets = new Set<Socket>();
	readonly #server = createServer((socket) => {
		this.#sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', (bytes) => {
			this.#answer(socket, String(bytes));
		});
	});

	async start(t: ExecutionContext, site: Site): Promise<void> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		t.teardown(() => {
			this.#server.close();
			this.closeConnections();
		});
		const {port} = this.#server.address() as AddressInfo;
		site.registerServer('i-1', 'plain', port);
	}

	closeConnections(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		this.#sockets.clear();
	}

	#answer(socket: Socket, request: string): void {
		if (request.startsWith('GET /health')) {
			const instance = 'x-kingcuproute-instance-id: i-1';
			socket.write(
				`HTTP/1.1 200 OK\r\n${instance}\r\ncontent-length: 0\r\n\r\n`,
			);
			return;
		}

		const [, id] = /x-kingcuproute-request-id: (\S+)/i.exec(request) ?? [];
		if (!this.cut) {
			socket.write(headOf('length', id) + body);
			return;
		}

		const {framing, len, how} = this.cut;
		const text = headOf(framing, id).slice(0, len);
		socket.write(text, () => {
			if (how === 'end') {
				socket.end();
			} else {
				socket.resetAndDestroy();
			}
		});
	}
}

/** Every place at which the head of an answer with this framing can be cut, both ways, on a new connection and on a used one. */
function cutsOf(framing: string, id: string): readonly Cut[] {
	const {length} = headOf(framing, id);
	return Array.from({length}, (_, len) => len).flatMap((len) => [
		{framing, len, how: 'end' as const, reused: len % 2 === 0},
		{framing, len, how: 'reset' as const, reused: len % 2 === 1},
	]);
}

test('an answer cut in its head is passed to no caller as whole, wherever it is cut', async (t) => {
	const site = createSite(t);
	const server = new CuttingServer();
	await server.start(t, site);
	await site.start();
	for (const framing of Object.keys(framings)) {
		for (const cut of cutsOf(framing, 'q/book/x')) {
			server.cut = undefined;
			server.closeConnections();
			if (cut.reused) {
				t.is(await site.statusOf('/book/x', {}, 'b'), 200);
			}

			server.cut = cut;
			const {status, text} = await site.send('/book/x', {}, 'b');
			t.is(status, 502, `${JSON.stringify(cut)}: ${text}`);
		}
	}
});
