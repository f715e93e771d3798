/**
 * Stand-in servers whose answers never end. The last segment of a request's path names
 * the kind of answer and the pace, such as `chunks-trickle`.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {type ExecutionContext} from 'ava'; // eslint-disable-line ava/use-test

/** How fast bytes are sent: as fast as the reader takes them, or one at a time. */
export const paces = ['flood', 'trickle'] as const;
export type Pace = (typeof paces)[number];

/** Text that is sent once, and text that is then sent repeatedly. */
type EndlessAnswer = {
	readonly start: string;
	readonly repeat: string;
	/** The pause between the two; none by default. */
	readonly pauseMs?: number;
};

const healthPath = '/health';
const floodLen = 65_536;
const trickleMs = 20;
const chunked = 'transfer-encoding: chunked\r\n\r\n';

function answerHead(id: string): string {
	return [
		'HTTP/1.1 200 OK',
		`x-kingcuproute-request-id: ${id}`,
		'x-kingcuproute-server-stamp: signed',
		'',
	].join('\r\n');
}

/** An answer that ends. */
function completeAnswer(id: string): string {
	return `${answerHead(id)}content-length: 2\r\n\r\nok`;
}

/** Endless answers whose endless part lies outside the body. */
export const bodiless: Readonly<Record<string, (id: string) => EndlessAnswer>> =
	{
		noAnswer: () => ({start: '', repeat: 'x'}),
		emptyLines: () => ({start: '', repeat: '\r\n'}),
		statusLine: () => ({start: 'HTTP/1.1 200 O', repeat: 'K'}),
		smallFields: (id) => ({start: answerHead(id), repeat: 'a: b\r\n'}),
		hugeField: (id) => ({start: `${answerHead(id)}a: b`, repeat: 'b'}),
		blankField: (id) => ({start: `${answerHead(id)}a:`, repeat: ' '}),
		continues: () => ({start: '', repeat: 'HTTP/1.1 100 Continue\r\n\r\n'}),
		processing: () => ({start: '', repeat: 'HTTP/1.1 102 Processing\r\n\r\n'}),
		earlyHints: () => ({
			start: '',
			repeat: 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n',
		}),
		chunkExtension: (id) => ({
			start: `${answerHead(id)}${chunked}1;a`,
			repeat: 'a',
		}),
		chunkSize: (id) => ({start: `${answerHead(id)}${chunked}`, repeat: '0'}),
		trailers: (id) => ({
			start: `${answerHead(id)}${chunked}2\r\nok\r\n0\r\n`,
			repeat: 'a: b\r\n',
		}),
	};

/** Answers with a body that never ends. */
export const bodies: Readonly<Record<string, (id: string) => EndlessAnswer>> = {
	noLength: (id) => ({start: `${answerHead(id)}\r\n`, repeat: 'x'}),
	chunks: (id) => ({
		start: `${answerHead(id)}${chunked}`,
		repeat: '10\r\n0123456789abcdef\r\n',
	}),
	tinyChunks: (id) => ({
		start: `${answerHead(id)}${chunked}`,
		repeat: '1\r\nx\r\n',
	}),
	longLength: (id) => ({
		start: `${answerHead(id)}content-length: 1000000000000\r\n\r\n`,
		repeat: 'x',
	}),
};

/** Refusals that state that the request did not run, with a body that never ends. */
export const refusals: Readonly<Record<string, (id: string) => EndlessAnswer>> =
	{
		refusal: (id) => ({
			start: [
				'HTTP/1.1 503 Full',
				`x-kingcuproute-request-id: ${id}`,
				'x-kingcuproute-not-executed: 1',
				'',
				'',
			].join('\r\n'),
			repeat: 'x',
		}),
	};

/** Complete answers that are followed by endless bytes. */
export const extras: Readonly<Record<string, (id: string) => EndlessAnswer>> = {
	extra: (id) => ({start: completeAnswer(id), repeat: 'x'}),
	lateExtra: (id) => ({start: completeAnswer(id), repeat: 'x', pauseMs: 200}),
	lateLines: (id) => ({
		start: completeAnswer(id),
		repeat: '\r\n',
		pauseMs: 200,
	}),
};

const kinds = {...bodiless, ...bodies, ...refusals, ...extras};

/** A server that answers as the last segment of the path says; with a complete answer if it names no kind. */
export class EndlessServer {
	/** The kind and the pace for every request; overrides the path. */
	fixedKind: string | undefined;
	/** Paths of the requests received, in order of arrival, without health checks. */
	readonly requestedPaths: string[] = [];
	readonly openSockets = new Set<Socket>();
	/** Open sockets on which an endless answer was started. */
	readonly endless = new Set<Socket>();
	/** Bytes written on connections that are closed. */
	writtenLen = 0;
	port = 0;
	readonly #server = createServer((socket) => {
		this.#accept(socket);
	});

	async start(): Promise<void> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		this.port = (this.#server.address() as AddressInfo).port;
	}

	stop(): void {
		this.#server.close();
		for (const socket of this.openSockets) {
			socket.destroy();
		}
	}

	#accept(socket: Socket): void {
		this.openSockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			this.openSockets.delete(socket);
			this.endless.delete(socket);
			this.writtenLen += socket.bytesWritten;
		});
		let text = '';
		socket.on('data', (chunk) => {
			text += String(chunk);
			const end = text.indexOf('\r\n\r\n');
			if (end !== -1) {
				const header = text.slice(0, end);
				text = '';
				this.#answer(socket, header);
			}
		});
	}

	#answer(socket: Socket, header: string): void {
		const path = header.split(' ', 2)[1];
		const id = /^x-kingcuproute-request-id: (.*)$/im.exec(header)?.[1] ?? '';
		if (path !== healthPath) {
			this.requestedPaths.push(path);
		}

		const [kind, pace] = (this.fixedKind ?? path.split('/').at(-1)!).split('-');
		const answer = kinds[kind]?.(id);
		if (!answer) {
			socket.write(completeAnswer(id));
			return;
		}

		this.endless.add(socket);
		socket.write(answer.start, () => {
			setTimeout(() => {
				writeRepeatedly(socket, answer.repeat, pace as Pace);
			}, answer.pauseMs ?? 0);
		});
	}
}

/** Writes `text` repeatedly until the socket is closed. */
function writeRepeatedly(socket: Socket, text: string, pace: Pace): void {
	if (pace === 'flood') {
		const bytes = Buffer.from(text.repeat(Math.ceil(floodLen / text.length)));
		const writeNext = () => {
			if (!socket.destroyed) {
				socket.write(bytes, () => setImmediate(writeNext));
			}
		};

		writeNext();
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

/** Starts servers that are stopped when the test ends. */
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
