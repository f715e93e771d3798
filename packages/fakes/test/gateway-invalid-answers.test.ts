/** What callers get where a server cuts its answer by a reset, or answers with a status that HTTP does not have. */
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {CallerSocket, requestText, type RawAnswer} from './caller-socket.js';
import {createSite, siteConfig, type Site} from './gateway-site.js';
import {pause, until} from './requests-fixture.js';

const body = 'the whole answer';
const part = 'the whole';
/** Longer than the daemon holds whole, so that it is passed on as it arrives. */
const longLen = 8_000_000;
/** Shorter than that, and longer than a server's socket takes at once. */
const heldLen = 900_000;
const maxBodyBytes = 16_000_000;
/** Long enough for the daemon to read what arrived before. */
const laterMs = 50;

/** Requests sent, each of which has an id of its own. */
let sentCount = 0;

function nextPath(): string {
	sentCount++;
	return `x${sentCount}`;
}

/** Writes an answer to the request `id`. */
type Script = (socket: Socket, id: string) => void;

function head(status: string, id: string, ...fields: readonly string[]) {
	return [
		`HTTP/1.1 ${status}`,
		`x-kingcuproute-request-id: ${id}`,
		'x-kingcuproute-server-stamp: signed',
		'x-kingcuproute-server-load: 1,0,3',
		...fields,
		'\r\n',
	].join('\r\n');
}

const whole: Script = (socket, id) => {
	socket.write(head('200 OK', id, `content-length: ${body.length}`) + body);
};

/** Answers at the head of a request, without reading its body, as `script` says. */
class ScriptedServer {
	#script: Script = whole;
	/** Requests whose id has this in it are answered by the script, all others whole. */
	#scripted = '';
	readonly #ids = new Set<string>();
	readonly #server = createServer((socket) => {
		socket.on('error', () => undefined);
		socket.on('data', (bytes) => {
			this.#answer(socket, String(bytes));
		});
	});

	answer(script: Script, scripted: string): void {
		this.#script = script;
		this.#scripted = scripted;
	}

	/** Whether it has got a request whose id ends with `idEnd`. */
	hasGot(idEnd: string): boolean {
		return [...this.#ids].some((id) => id.endsWith(idEnd));
	}

	async start(
		t: ExecutionContext,
		site: Site,
		name = 'i-1',
		service = 'plain',
	): Promise<void> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		t.teardown(() => {
			this.#server.close();
		});
		const {port} = this.#server.address() as AddressInfo;
		site.registerServer(name, service, port);
	}

	#answer(socket: Socket, text: string): void {
		const [, path] = /^[A-Z]+ (\S+) HTTP\/1\.1\r\n/.exec(text) ?? [];
		if (path === undefined) {
			return;
		}

		const [, instance] = /x-kingcuproute-expect-instance: (\S+)/i.exec(
			text,
		) ?? ['', 'i-1'];
		if (path === '/health' || path.startsWith('/kingcuproute/')) {
			socket.write(
				`HTTP/1.1 200 OK\r\nx-kingcuproute-instance-id: ${instance}\r\nx-kingcuproute-cold-ms: 0\r\nx-kingcuproute-handover: h\r\ncontent-length: 0\r\n\r\n`,
			);
			return;
		}

		const [, id] = /x-kingcuproute-request-id: (\S+)/i.exec(text) ?? ['', ''];
		this.#ids.add(id);
		(id.includes(this.#scripted) ? this.#script : whole)(socket, id);
	}
}

/** Ways to begin an answer without a length and reset the connection, with its bytes or a little later. */
const resets: Readonly<Record<string, Script>> = {
	'with a part of the body, and resets later'(socket, id) {
		socket.pause();
		socket.write(head('200 OK', id) + part);
		setTimeout(() => socket.resetAndDestroy(), laterMs);
	},
	'with a part of the body, and resets at once'(socket, id) {
		socket.pause();
		socket.write(head('200 OK', id) + part, () => {
			socket.resetAndDestroy();
		});
	},
	'with the head, and resets later'(socket, id) {
		socket.pause();
		socket.write(head('200 OK', id));
		setTimeout(() => socket.resetAndDestroy(), laterMs);
	},
	'with a part of chunks, and resets later'(socket, id) {
		socket.pause();
		socket.write(
			`${head('200 OK', id, 'transfer-encoding: chunked')}9\r\n${part}\r\n`,
		);
		setTimeout(() => socket.resetAndDestroy(), laterMs);
	},
};

const cuts: Readonly<Record<string, Script>> = {
	...resets,
	// Data that was not read makes the kernel send a reset in place of the end.
	'with a part of the body, and closes without reading the upload'(socket, id) {
		socket.pause();
		socket.write(head('200 OK', id) + part, () => {
			socket.destroy();
		});
	},
};

/** Invalid answers, on a connection that stays open. */
function invalid(status: string): Readonly<Record<string, Script>> {
	return {
		[`status ${status} and a body`](socket, id) {
			const length = `content-length: ${body.length}`;
			socket.write(head(`${status} OK`, id, length) + body);
		},
		[`status ${status} and no body`](socket, id) {
			socket.write(head(`${status} OK`, id, 'content-length: 0'));
		},
		[`status ${status} and no length`](socket, id) {
			socket.write(head(`${status} OK`, id) + body);
		},
		[`status ${status} and a close`](socket, id) {
			socket.end(head(`${status} OK`, id, 'connection: close') + body);
		},
	};
}

async function siteWith(
	t: ExecutionContext,
	server: ScriptedServer,
	service = 'plain',
): Promise<Site> {
	const site = createSite(t);
	site.config = {
		...siteConfig,
		limits: {...siteConfig.limits, maxBodyBytes},
	};
	await server.start(t, site, 'i-1', service);
	await site.start();
	return site;
}

/** The head of an upload of `len` bytes. */
function uploadText(target: string, len: number): string {
	return requestText(target, 5000)
		.replace('GET', 'POST')
		.replace(/\r\n$/, `content-length: ${len}\r\n\r\n`);
}

/**
 * Sends a request by `write`, with a new id each time, until the server gets one: the
 * daemon may refuse it before that, since a server that has reset a connection has to say
 * first that it is warm. Returns the answer; undefined if the connection was closed.
 */
async function answerOf(
	site: Site,
	server: ScriptedServer,
	write: (caller: CallerSocket, path: string) => void,
): Promise<RawAnswer | undefined> {
	for (;;) {
		const caller = await CallerSocket.open(site.entry);
		caller.send('/read/first');
		await until(async () => caller.answers.length === 1);
		const path = nextPath();
		write(caller, path);
		await Promise.race([
			caller.closed,
			until(async () => caller.answers.length === 2),
		]);
		const answer = caller.answers.at(1);
		caller.leave();
		const wasSent = server.hasGot(path);
		if (wasSent || answer?.status !== 503) {
			return answer;
		}
	}
}

function assertFailed(
	t: ExecutionContext,
	answer: RawAnswer | undefined,
	what: string,
) {
	t.true(
		answer === undefined || answer.status === 502,
		`${what}: ${answer?.status}`,
	);
}

test.serial(
	'an upload that a server answers in part before it resets the connection is not taken for answered',
	async (t) => {
		const server = new ScriptedServer();
		const site = await siteWith(t, server);
		for (const [name, script] of Object.entries(cuts)) {
			server.answer(script, '/book/');
			for (const len of [heldLen, heldLen, longLen, longLen]) {
				const answer = await answerOf(site, server, (caller, path) => {
					caller.write(uploadText(`/book/${path}`, len));
					caller.write('x'.repeat(len === heldLen ? len : len / 2));
				});
				assertFailed(t, answer, `${name}, ${len} bytes`);
			}
		}
	},
);

for (const status of ['000', '099', '1000']) {
	test.serial(
		`an answer with status ${status} is passed to no caller, nor does it change the answers to other requests`,
		async (t) => {
			const server = new ScriptedServer();
			const site = await siteWith(t, server);
			for (const [name, script] of Object.entries(invalid(status))) {
				server.answer(script, '/x');
				for (const prefix of ['/book/', '/read/']) {
					const answer = await answerOf(site, server, (caller, path) => {
						caller.send(prefix + path);
					});
					assertFailed(t, answer, prefix + name);
					await until(async () => (await site.statusOf('/read/b')) === 200);
				}
			}
		},
	);
}

test.serial(
	'a reset that overtakes the answer leaves the caller without one',
	async (t) => {
		const server = new ScriptedServer();
		const site = await siteWith(t, server);
		server.answer((socket, id) => {
			const length = `content-length: ${body.length}`;
			socket.write(head('200 OK', id, length) + part);
			socket.resetAndDestroy();
		}, '/book/');
		for (let count = 0; count < 10; count++) {
			const answer = await answerOf(site, server, (caller, path) => {
				caller.send(`/book/${path}`);
			});
			assertFailed(t, answer, `request ${count}`);
		}
	},
);

test.serial(
	"a second attempt that gets the first one's invalid answer again does not make it valid",
	async (t) => {
		const servers = [new ScriptedServer(), new ScriptedServer()];
		const site = await siteWith(t, servers[0]);
		await servers[1].start(t, site, 'i-2');
		const attempts = (id: string) =>
			servers.filter((server) => server.hasGot(id)).length;
		const scripts = Object.entries({...resets, ...invalid('000')});
		for (const [name, script] of scripts) {
			for (const second of [script, whole]) {
				for (const server of servers) {
					server.answer((socket, id) => {
						(attempts(id) < 2 ? script : second)(socket, id);
					}, '/x');
				}

				await sentTwice(t, site, {attempts, second, name});
			}
		}
	},
);

/** Sends requests until one has got to both servers; asserts that only a whole second answer counts. */
async function sentTwice(
	t: ExecutionContext,
	site: Site,
	{
		attempts,
		second,
		name,
	}: {
		readonly attempts: (id: string) => number;
		readonly second: Script;
		readonly name: string;
	},
): Promise<void> {
	for (;;) {
		const path = `/read/${nextPath()}`;
		const {status, text} = await site.send(path);
		const wasRefused = status === 503 && attempts(path) === 0;
		const isWhole = second === whole && attempts(path) === 2 && text === body;
		t.true(
			wasRefused || status === (isWhole ? 200 : 502),
			`${name}: ${status} ${text}`,
		);
		if (attempts(path) === 2) {
			return;
		}

		await pause(laterMs);
	}
}
