/**
 * The connection to one peer. Small calls share one stream on it; large ones are
 * unary calls. If a call times out and nothing at all came over the connection since
 * it started, the connection counts as silent, unless it may still be opening.
 */
import {Buffer} from 'node:buffer';
import {
	Client,
	credentials,
	Metadata,
	status,
	type ServiceError,
} from '@grpc/grpc-js';
import {type Clock, type Millis} from '@kingcuproute/core';
import {Left, Right, type Either} from 'purify-ts';
import {channelOptions} from './channel-options.js';
import {encodeMessage} from './rpc.js';
import {carry} from './shared-rpc.js';
import {SharedStream, type StreamError} from './shared-stream.js';

/** How long a connection may take to open; before that, a time-out does not show that it is silent. */
const maxOpeningMs: Millis = 1000;

/** Why a call got no answer, and whether the channel is dead and has to be replaced. */
export type ChannelError = {
	readonly kind: 'unreachable' | 'refused';
	readonly message: string;
	readonly dead: boolean;
};

type Outcome = Either<ChannelError, Uint8Array>;

const toBuffer = ({buffer, byteOffset, length}: Uint8Array) =>
	Buffer.from(buffer, byteOffset, length);

export class Channel {
	/** When the last call started. */
	lastUsedAt: Millis;
	readonly #client: Client;
	readonly #createdAt: Millis;
	#lastReceivedAt = -Infinity;
	#stream: SharedStream | undefined;

	constructor(
		address: string,
		private readonly clock: Clock,
	) {
		this.lastUsedAt = clock.now();
		this.#createdAt = this.lastUsedAt;
		this.#client = new Client(
			address,
			credentials.createInsecure(),
			channelOptions,
		);
	}

	/** Makes a call on the stream that all small calls share. */
	async askShared(
		path: string,
		body: Uint8Array,
		timeoutMs: Millis,
	): Promise<Outcome> {
		const startedAt = this.#recordUse();
		this.#stream ??= this.#openStream();
		const answer = await this.#stream.ask(path, body, timeoutMs);
		return answer.mapLeft((error) => this.#fromStreamError(error, startedAt));
	}

	/** Makes a unary call. */
	async askUnary(
		path: string,
		body: Uint8Array,
		timeoutMs: Millis,
	): Promise<Outcome> {
		const startedAt = this.#recordUse();
		return new Promise((resolve) => {
			this.#client.makeUnaryRequest(
				path,
				toBuffer,
				toBuffer,
				body,
				new Metadata(),
				{deadline: this.clock.wall() + timeoutMs},
				(error, answer) => {
					if (error) {
						resolve(Left(this.#fromServiceError(error, startedAt)));
						return;
					}

					this.#lastReceivedAt = this.clock.now();
					resolve(Right(answer!));
				},
			);
		});
	}

	/** Closes the connection once the running calls have ended. */
	retire(): void {
		this.#stream?.retire();
		this.#client.close();
	}

	/** Closes the connection now. */
	close(): void {
		this.#stream?.cancel();
		this.#client.close();
	}

	#recordUse(): Millis {
		this.lastUsedAt = this.clock.now();
		return this.lastUsedAt;
	}

	#openStream(): SharedStream {
		const call = this.#client.makeBidiStreamRequest(
			carry.path,
			(message) => encodeMessage(carry.question, message),
			(bytes) => carry.answer.decode(bytes),
		);
		const stream: SharedStream = new SharedStream(
			call,
			this.clock,
			() => {
				this.#lastReceivedAt = this.clock.now();
			},
			() => {
				if (this.#stream === stream) {
					this.#stream = undefined;
				}
			},
		);
		return stream;
	}

	#fromStreamError(
		{kind, message}: StreamError,
		startedAt: Millis,
	): ChannelError {
		if (kind === 'refused') {
			return {kind, message, dead: false};
		}

		const dead =
			kind === 'broken' || (kind === 'late' && this.#isSilent(startedAt));
		return {kind: 'unreachable', message, dead};
	}

	#fromServiceError(
		{code, details: message}: ServiceError,
		startedAt: Millis,
	): ChannelError {
		const late = code === status.DEADLINE_EXCEEDED;
		if (!late && code !== status.UNAVAILABLE) {
			this.#lastReceivedAt = this.clock.now();
			return {kind: 'refused', message, dead: false};
		}

		const dead = !late || this.#isSilent(startedAt);
		return {kind: 'unreachable', message, dead};
	}

	/** Whether a call that started at `startedAt` and times out now shows that the connection is silent. */
	#isSilent(startedAt: Millis): boolean {
		const isOpening =
			this.#lastReceivedAt === -Infinity &&
			this.clock.now() - this.#createdAt < maxOpeningMs;
		return !isOpening && this.#lastReceivedAt < startedAt;
	}
}
