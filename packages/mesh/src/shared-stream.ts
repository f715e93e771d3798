/**
 * The asking side of the stream that carries small calls to one peer. Every call
 * has its own time-out. An answer that comes after it, or on a stream that was
 * replaced, is dropped.
 */
import {type ClientDuplexStream} from '@grpc/grpc-js';
import {type Cancel, type Clock, type Millis} from '@kingcuproute/core';
import {Left, Right, type Either} from 'purify-ts';
import {Outbox} from './outbox.js';
import {
	type AnswerMessage,
	type AnswersMessage,
	type QuestionMessage,
	type QuestionsMessage,
} from './shared-rpc.js';

/** Why a call on the stream got no answer. */
export type StreamError =
	| {readonly kind: 'refused'; readonly message: string}
	/** No answer came in time. */
	| {readonly kind: 'late'; readonly message: string}
	/** The stream ended before the answer came. */
	| {readonly kind: 'broken'; readonly message: string}
	/** The peer reads too slowly and too many questions are unsent; this one was not sent. */
	| {readonly kind: 'full'; readonly message: string};

type Outcome = Either<StreamError, Uint8Array>;

type Pending = {
	readonly resolve: (outcome: Outcome) => void;
	readonly cancelTimer: Cancel;
};

/** The stream as gRPC's client returns it. */
export type SharedCall = ClientDuplexStream<QuestionsMessage, AnswersMessage>;

export class SharedStream {
	readonly #pending = new Map<number, Pending>();
	readonly #outbox: Outbox<QuestionMessage>;
	#lastId = 0;
	#retired = false;

	/** `onFrame` is called for each frame of answers, `onEnd` when the stream has ended or failed. */
	constructor(
		private readonly call: SharedCall,
		private readonly clock: Clock,
		onFrame: () => void,
		onEnd: () => void,
	) {
		this.#outbox = new Outbox((items, onSent) => {
			call.write({items}, onSent);
		});
		const fail = (message: string) => {
			onEnd();
			this.#failPending(message);
		};

		call.on('data', ({items}: AnswersMessage) => {
			onFrame();
			for (const item of items ?? []) {
				this.#receive(item);
			}
		});
		call.on('error', ({message}: Error) => {
			fail(message);
		});
		call.on('end', () => {
			fail('the peer ended the stream');
		});
	}

	/** Sends a question, and waits for its answer for at most `timeoutMs`. */
	async ask(
		path: string,
		body: Uint8Array,
		timeoutMs: Millis,
	): Promise<Outcome> {
		if (this.#outbox.full) {
			return Left({kind: 'full', message: 'too much is unsent'});
		}

		const id = this.#nextId();
		return new Promise((resolve) => {
			const cancelTimer = this.clock.after(timeoutMs, () => {
				this.#resolve(
					id,
					Left({kind: 'late', message: `no answer in ${timeoutMs} ms`}),
				);
			});
			this.#pending.set(id, {resolve, cancelTimer});
			this.#outbox.add({id, path, body});
		});
	}

	/** Ends the stream as soon as no call waits for an answer; `ask` must not be called after it. */
	retire(): void {
		this.#retired = true;
		this.#endIfIdle();
	}

	/** Ends the stream now. */
	cancel(): void {
		this.call.cancel();
	}

	#nextId(): number {
		this.#lastId = (this.#lastId + 1) % 2 ** 32;
		return this.#lastId;
	}

	#receive({id, body, refused, reason}: AnswerMessage): void {
		this.#resolve(
			id ?? 0,
			refused
				? Left({kind: 'refused', message: reason ?? ''})
				: Right(body ?? new Uint8Array()),
		);
	}

	#resolve(id: number, outcome: Outcome): void {
		const pending = this.#pending.get(id);
		if (pending) {
			this.#pending.delete(id);
			pending.cancelTimer();
			pending.resolve(outcome);
			this.#endIfIdle();
		}
	}

	#failPending(message: string): void {
		for (const id of this.#pending.keys()) {
			this.#resolve(id, Left({kind: 'broken', message}));
		}
	}

	#endIfIdle(): void {
		if (this.#retired && this.#pending.size === 0) {
			this.call.cancel();
		}
	}
}
