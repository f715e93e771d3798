/**
 * HTTP connections that limit how much a peer can make this process read. Undici limits
 * the header fields of one answer, and the body if configured. It does not limit blank
 * lines, status lines, informational answers, whitespace in fields or the framing of
 * chunked bodies. Here all bytes of an answer other than its body are counted as the
 * connection delivers them.
 */
import {type Socket} from 'node:net';
import {Agent, buildConnector, Client, Pool, type Dispatcher} from 'undici';

/** Framing bytes allowed per body byte; a chunk of one byte has five bytes of framing. */
const maxFramingRatio = 8;

/** Default limit on the bytes other than the body, before the body begins. */
export const defaultFramingLen = 65_536;

/** Counts the bytes that one connection has received since its latest request. */
class Meter {
	#socket: Socket | undefined;
	#startLen = 0;
	#bodyLen = 0;

	constructor(private readonly maxLen: number) {}

	/** Starts to count what `socket` delivers, and destroys it once the framing exceeds the limit. */
	attach(socket: Socket): void {
		this.#socket = socket;
		this.startRequest();
		socket.prependListener('readable', () => {
			const framingLen = this.#read() - this.#startLen - this.#bodyLen;
			if (framingLen > this.maxLen + this.#bodyLen * maxFramingRatio) {
				socket.destroy(new Error(`${framingLen} bytes beside the body`));
			}
		});
	}

	startRequest(): void {
		this.#startLen = this.#read();
		this.#bodyLen = 0;
	}

	addBody(len: number): void {
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
	/** Limit on the bytes other than the body, before the body begins. */
	readonly maxFramingLen: number;
};

/** A client with one connection at a time that carries one request at a time. */
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
						meter.attach(socket);
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

/** Wraps `handler` so that `meter` sees its events, under both sets of method names that undici uses. */
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

			return (...args: unknown[]): unknown => {
				if (name === 'onConnect' || name === 'onRequestStart') {
					meter.startRequest();
				} else if (name === 'onData' || name === 'onResponseData') {
					meter.addBody((args.at(-1) as Uint8Array).length);
				}

				return Reflect.apply(member, target, args);
			};
		},
	});
}

/** Creates the factory that gives a pool or agent bounded connections. */
export function boundedFactory(
	maxFramingLen = defaultFramingLen,
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

/** An agent with bounded connections; an answer whose body is longer than `maxBodyLen` bytes fails. */
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
