/**
 * Connections whose peer does not decide how much is read. Undici bounds the fields of
 * one head, and a body where asked; not bounded there are blank lines, status lines,
 * informational answers, blanks in fields and what frames the chunks of a body. Here all
 * that a request brings beside its body is counted as the connection delivers it.
 */
import {type Socket} from 'node:net';
import {Agent, buildConnector, Client, Pool, type Dispatcher} from 'undici';

/** A chunk of one byte is framed by five. */
const maxFramingRatio = 8;

/** What may come beside a body before its first byte, in bytes. */
export const usualFramingLen = 65_536;

/** The bytes of one connection since its newest request. */
class Meter {
	#socket: Socket | undefined;
	#begun = 0;
	#bodyLen = 0;

	constructor(private readonly maxLen: number) {}

	/** Counts what this socket delivers. */
	follow(socket: Socket): void {
		this.#socket = socket;
		this.begin();
		socket.prependListener('readable', () => {
			const framingLen = this.#read() - this.#begun - this.#bodyLen;
			if (framingLen > this.maxLen + this.#bodyLen * maxFramingRatio) {
				socket.destroy(new Error(`${framingLen} bytes beside the body`));
			}
		});
	}

	begin(): void {
		this.#begun = this.#read();
		this.#bodyLen = 0;
	}

	body(len: number): void {
		this.#bodyLen += len;
	}

	#read(): number {
		return this.#socket
			? this.#socket.bytesRead - this.#socket.readableLength
			: 0;
	}
}

export type BoundedOptions = Client.Options & {
	readonly connect: buildConnector.connector;
	/** What may come beside a body before its first byte, in bytes. */
	readonly maxFramingLen: number;
};

/** One connection at a time, one request at a time on it. */
export class BoundedClient extends Client {
	readonly #meter: Meter;

	constructor(
		origin: string | URL,
		{connect, maxFramingLen, ...options}: BoundedOptions,
	) {
		const meter = new Meter(maxFramingLen);
		super(origin, {
			...options,
			connect(target, callback) {
				connect(target, (...result) => {
					const [, socket] = result;
					if (socket) {
						meter.follow(socket);
					}

					callback(...result);
				});
			},
		});
		this.#meter = meter;
	}

	override dispatch(
		options: Dispatcher.DispatchOptions,
		handler: Dispatcher.DispatchHandler,
	): boolean {
		return super.dispatch(options, metered(handler, this.#meter));
	}
}

/** Tells `meter` what `handler` is told, by either of the names that undici has for it. */
function metered(
	handler: Dispatcher.DispatchHandler,
	meter: Meter,
): Dispatcher.DispatchHandler {
	return new Proxy(handler, {
		get(target, name) {
			const member: unknown = Reflect.get(target, name);
			if (typeof member !== 'function') {
				return member;
			}

			return (...told: unknown[]): unknown => {
				if (name === 'onConnect' || name === 'onRequestStart') {
					meter.begin();
				} else if (name === 'onData' || name === 'onResponseData') {
					meter.body((told.at(-1) as Uint8Array).length);
				}

				return Reflect.apply(member, target, told);
			};
		},
	});
}

/** Has a pool's connections bounded. */
export function boundedFactory(
	maxFramingLen = usualFramingLen,
): (origin: URL, options: Client.Options) => Dispatcher {
	return (origin, {connect, ...options}) => {
		const connector =
			typeof connect === 'function' ? connect : buildConnector(connect);
		return new BoundedClient(origin, {
			...options,
			connect: connector,
			maxFramingLen,
		});
	};
}

/** An agent that reads answers up to `maxBodyLen` bytes; longer ones fail. */
export function boundedAgent(
	maxBodyLen: number,
	options: Agent.Options,
): Agent {
	return new Agent({
		...options,
		maxResponseSize: maxBodyLen,
		factory: (origin, pooled) =>
			new Pool(origin, {...pooled, factory: boundedFactory()}),
	});
}
