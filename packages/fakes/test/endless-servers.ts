/**
 * Stand-in servers whose answers never end. What a request gets is named by its path:
 * the kind of answer, and whether its bytes come as fast as they are read or one by one.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {type ExecutionContext} from 'ava'; // eslint-disable-line ava/use-test

/** How bytes come: as fast as the reader takes them, or one at a time. */
export const paces = ['flood', 'trickle'] as const;
export type Pace = (typeof paces)[number];

/** What is sent at once, and what is sent after it again and again. */
type Endless = {
	readonly begin: string;
	readonly again: string;
	/** The pause between the two. */
	readonly pauseMs?: number;
};

const floodLen = 65_536;
const trickleMs = 20;
const chunked = 'transfer-encoding: chunked\r\n\r\n';

function head(id: string): string {
	return [
		'HTTP/1.1 200 OK',
		`x-kingcuproute-request-id: ${id}`,
		'x-kingcuproute-server-stamp: signed',
		'',
	].join('\r\n');
}

/** An answer that is whole. */
function whole(id: string): string {
	return `${head(id)}content-length: 2\r\n\r\nok`;
}

/** Answers of which no byte is a body's. */
export const bodiless: Readonly<Record<string, (id: string) => Endless>> = {
	noAnswer: () => ({begin: '', again: 'x'}),
	emptyLines: () => ({begin: '', again: '\r\n'}),
	statusLine: () => ({begin: 'HTTP/1.1 200 O', again: 'K'}),
	smallFields: (id) => ({begin: head(id), again: 'a: b\r\n'}),
	hugeField: (id) => ({begin: `${head(id)}a: b`, again: 'b'}),
	blankField: (id) => ({begin: `${head(id)}a:`, again: ' '}),
	continues: () => ({begin: '', again: 'HTTP/1.1 100 Continue\r\n\r\n'}),
	processing: () => ({begin: '', again: 'HTTP/1.1 102 Processing\r\n\r\n'}),
	earlyHints: () => ({
		begin: '',
		again: 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n',
	}),
	chunkExtension: (id) => ({begin: `${head(id)}${chunked}1;a`, again: 'a'}),
	chunkSize: (id) => ({begin: `${head(id)}${chunked}`, again: '0'}),
	trailers: (id) => ({
		begin: `${head(id)}${chunked}2\r\nok\r\n0\r\n`,
		again: 'a: b\r\n',
	}),
};

/** Answers with a body that never ends. */
export const bodies: Readonly<Record<string, (id: string) => Endless>> = {
	noLength: (id) => ({begin: `${head(id)}\r\n`, again: 'x'}),
	chunks: (id) => ({
		begin: `${head(id)}${chunked}`,
		again: '10\r\n0123456789abcdef\r\n',
	}),
	tinyChunks: (id) => ({
		begin: `${head(id)}${chunked}`,
		again: '1\r\nx\r\n',
	}),
	longLength: (id) => ({
		begin: `${head(id)}content-length: 1000000000000\r\n\r\n`,
		again: 'x',
	}),
};

/** Refusals that say that the request did not run, with a body that never ends. */
export const refusals: Readonly<Record<string, (id: string) => Endless>> = {
	refusal: (id) => ({
		begin: [
			'HTTP/1.1 503 Full',
			`x-kingcuproute-request-id: ${id}`,
			'x-kingcuproute-not-executed: 1',
			'',
			'',
		].join('\r\n'),
		again: 'x',
	}),
};

/** Whole answers with bytes after them. */
export const extras: Readonly<Record<string, (id: string) => Endless>> = {
	extra: (id) => ({begin: whole(id), again: 'x'}),
	lateExtra: (id) => ({begin: whole(id), again: 'x', pauseMs: 200}),
	lateLines: (id) => ({begin: whole(id), again: '\r\n', pauseMs: 200}),
};

const kinds = {...bodiless, ...bodies, ...refusals, ...extras};

/** A server that answers by the last part of the path; sound where the path names no kind. */
export class EndlessServer {
	/** The kind and the pace for every request, whatever its path. */
	always: string | undefined;
	/** Paths in order of arrival. */
	readonly asked: string[] = [];
	readonly open = new Set<Socket>();
	/** Sockets on which something endless was begun. */
	readonly endless = new Set<Socket>();
	/** Bytes written on connections that have ended. */
	writtenLen = 0;
	port = 0;
	readonly #server = createServer((socket) => {
		this.#take(socket);
	});

	async start(): Promise<void> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		this.port = (this.#server.address() as AddressInfo).port;
	}

	stop(): void {
		this.#server.close();
		for (const socket of this.open) {
			socket.destroy();
		}
	}

	#take(socket: Socket): void {
		this.open.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			this.open.delete(socket);
			this.endless.delete(socket);
			this.writtenLen += socket.bytesWritten;
		});
		let text = '';
		socket.on('data', (chunk) => {
			text += String(chunk);
			const end = text.indexOf('\r\n\r\n');
			if (end !== -1) {
				const asked = text.slice(0, end);
				text = '';
				this.#answer(socket, asked);
			}
		});
	}

	#answer(socket: Socket, asked: string): void {
		const path = asked.split(' ', 2)[1];
		const id = /^x-kingcuproute-request-id: (.*)$/im.exec(asked)?.[1] ?? '';
		this.asked.push(path);
		const [kind, pace] = (this.always ?? path.split('/').at(-1)!).split('-');
		const made = kinds[kind]?.(id);
		if (!made) {
			socket.write(whole(id));
			return;
		}

		this.endless.add(socket);
		socket.write(made.begin, () => {
			setTimeout(() => {
				pour(socket, made.again, pace as Pace);
			}, made.pauseMs ?? 0);
		});
	}
}

/** Writes `text` over and over until the socket is closed. */
function pour(socket: Socket, text: string, pace: Pace): void {
	if (pace === 'flood') {
		const bytes = Buffer.from(text.repeat(Math.ceil(floodLen / text.length)));
		const go = () => {
			if (!socket.destroyed) {
				socket.write(bytes, () => setImmediate(go));
			}
		};

		go();
		return;
	}

	if (socket.destroyed) {
		return;
	}

	let pos = 0;
	const timer = setInterval(() => {
		socket.write(text[pos++ % text.length]);
	}, trickleMs);
	socket.once('close', () => {
		clearInterval(timer);
	});
}

/** Servers that are stopped with the test. */
export async function endlessServers(
	t: ExecutionContext,
	count: number,
): Promise<readonly EndlessServer[]> {
	const servers = Array.from({length: count}, () => new EndlessServer());
	t.teardown(() => {
		for (const server of servers) {
			server.stop();
		}
	});
	await Promise.all(servers.map(async (server) => server.start()));
	return servers;
}
