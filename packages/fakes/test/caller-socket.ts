/** A caller that writes requests to one connection without waiting for answers. */
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';

/** An answer as it stands in the bytes of the connection. */
export type RawAnswer = {
	readonly status: number;
	/** The request that it answers; undefined for the daemon's own answers. */
	readonly id: string | undefined;
	readonly closes: boolean;
};

export class CallerSocket {
	/** `entry` is host:port. */
	static async open(entry: string): Promise<CallerSocket> {
		const {hostname, port} = new URL(`http://${entry}`);
		const socket = connect(Number(port), hostname);
		await once(socket, 'connect');
		return new CallerSocket(socket);
	}

	readonly closed: Promise<unknown>;
	#text = '';

	private constructor(private readonly socket: Socket) {
		socket.setEncoding('latin1');
		socket.on('data', (text: string) => {
			this.#text += text;
		});
		// A reset shows as the close of the connection.
		socket.on('error', () => undefined);
		this.closed = once(socket, 'close');
	}

	/** The answers so far. */
	get answers(): readonly RawAnswer[] {
		return this.#text
			.split(/(?=HTTP\/1\.1 \d{3} )/)
			.filter((text) => text.startsWith('HTTP/'))
			.map((text) => {
				const [head] = text.split('\r\n\r\n');
				return {
					status: Number(head.slice(9, 12)),
					id: /^x-kingcuproute-request-id: (.*)$/im.exec(head)?.[1],
					closes: /^connection: close$/im.test(head),
				};
			});
	}

	get ids(): ReadonlyArray<string | undefined> {
		return this.answers.map(({id}) => id);
	}

	/** Writes a request for each of `targets`, whose path is also its id; all in one piece. */
	send(...targets: readonly string[]): void {
		this.write(targets.map((target) => requestText(target)).join(''));
	}

	write(text: string): void {
		this.socket.write(text);
	}

	/** Bytes received. */
	get len(): number {
		return this.#text.length;
	}

	/** Reads nothing until `resume`. */
	pause(): void {
		this.socket.pause();
	}

	resume(): void {
		this.socket.resume();
	}

	/** Leaves without reading the answers. */
	leave(): void {
		this.socket.destroy();
	}
}

/** A request whose path is also its id. */
export function requestText(target: string, allowedMs = 20_000): string {
	return [
		`GET ${target} HTTP/1.1`,
		'host: shop.example',
		`x-kingcuproute-request-id: ${target}`,
		`x-kingcuproute-deadline-ms: ${allowedMs}`,
		'\r\n',
	].join('\r\n');
}
