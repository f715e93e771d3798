/**
 * The mesh over gRPC. A channel is replaced when a call on it times out and nothing
 * else came over it meanwhile. So a connection that has gone silent costs one time-out,
 * not two, and one slow answer does not make other calls fail.
 */
import {type Cancel, type Clock, type Millis} from '@kingcuproute/core';
import {Either, EitherAsync} from 'purify-ts';
import {Answerer} from './answerer.js';
import {Channel, type ChannelError} from './channel.js';
import {type MeshError} from './mesh-error.js';
import {Mesh, type Handler} from './mesh.js';
import {type Codec, type Rpc} from './rpc.js';
import {serializerOf, type Serializer} from './wire.js';

const sweepMs: Millis = 30_000;
const channelIdleMs: Millis = 60_000;
const maxSharedLen = 16 * 1024;

/** Called for each message, with the path of its call, its direction and its length in bytes. */
export type MessageObserver = (
	path: string,
	direction: 'in' | 'out',
	bytes: number,
) => void;

/** Daemon-to-daemon calls over gRPC. */
export class GrpcMesh extends Mesh {
	readonly #channels = new Map<string, Channel>();
	readonly #answerer: Answerer;
	readonly #cancelSweep: Cancel;
	#observer: MessageObserver | undefined;

	constructor(private readonly clock: Clock) {
		super();
		this.#answerer = new Answerer(clock);
		this.#cancelSweep = clock.repeat(sweepMs, () => {
			this.#sweep();
		});
	}

	/** Calls `observer` for every message from now on, instead of an earlier one. */
	setObserver(observer: MessageObserver): void {
		this.#observer = observer;
	}

	override async call<Q, A>(
		address: string,
		rpc: Rpc<Q, A>,
		question: Q,
		timeoutMs: Millis,
	): Promise<Either<MeshError, A>> {
		const channel = this.#channelTo(address);
		const encoded = tryCodec(() =>
			this.#serializer(rpc.path, rpc.question).encode(question),
		);
		return EitherAsync.liftEither(encoded)
			.chain(async (body) => ask(channel, rpc, body, timeoutMs))
			.chain(async (bytes) =>
				tryCodec(() => this.#serializer(rpc.path, rpc.answer).decode(bytes)),
			)
			.mapLeft((error) => this.#toMeshError(address, channel, error));
	}

	override serve<Q, A>(rpc: Rpc<Q, A>, handler: Handler<Q, A>): void {
		const {path, question, answer} = rpc;
		const serializers = [
			this.#serializer(path, question),
			this.#serializer(path, answer),
		] as const;
		this.#answerer.serve(rpc, ...serializers, handler);
	}

	/** Listens on `address` (host:port, port 0 for any free one); returns the port. */
	async listen(address: string): Promise<number> {
		return this.#answerer.listen(address);
	}

	/** Closes every channel and stops listening. */
	close(): void {
		this.#cancelSweep();
		for (const channel of this.#channels.values()) {
			channel.close();
		}

		this.#channels.clear();
		this.#answerer.close();
	}

	#channelTo(address: string): Channel {
		const existing = this.#channels.get(address);
		if (existing) {
			return existing;
		}

		const channel = new Channel(address, this.clock);
		this.#channels.set(address, channel);
		return channel;
	}

	/** Closes the channels that were not used for `channelIdleMs`. */
	#sweep(): void {
		const oldest = this.clock.now() - channelIdleMs;
		for (const [address, channel] of this.#channels) {
			if (channel.lastUsedAt < oldest) {
				this.#channels.delete(address);
				channel.retire();
			}
		}

		this.#answerer.sweep();
	}

	/** The serializer for one kind of message of the call at `path`; it tells the observer of each message. */
	#serializer<T>(path: string, codec: Codec<T>): Serializer<T> {
		const {encode, decode} = serializerOf(codec);
		return {
			encode: (message) => {
				const bytes = encode(message);
				this.#observer?.(path, 'out', bytes.length);
				return bytes;
			},
			decode: (bytes) => {
				this.#observer?.(path, 'in', bytes.length);
				return decode(bytes);
			},
		};
	}

	#toMeshError(
		address: string,
		channel: Channel,
		{kind, message, dead}: ChannelError,
	): MeshError {
		if (dead && this.#channels.get(address) === channel) {
			this.#channels.delete(address);
			channel.retire();
		}

		return {kind, message: `${address}: ${message}`};
	}
}

async function ask<Q, A>(
	channel: Channel,
	{path, large}: Rpc<Q, A>,
	body: Uint8Array,
	timeoutMs: Millis,
): Promise<Either<ChannelError, Uint8Array>> {
	return large === true || body.length > maxSharedLen
		? channel.askUnary(path, body, timeoutMs)
		: channel.askShared(path, body, timeoutMs);
}

/** Runs an encoding or decoding; a message for which it throws counts as refused. */
function tryCodec<T>(code: () => T): Either<ChannelError, T> {
	return Either.encase(code).mapLeft(({message}) => ({
		kind: 'refused',
		message,
		dead: false,
	}));
}
