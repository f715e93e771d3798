/**
 * The answering side of the stream that carries small calls from one peer. It stops
 * reading questions while the peer leaves too many answers unread. The owner ends a
 * stream on which no question came for a long time, as the peer may be gone.
 */
import {type ServerDuplexStream} from '@grpc/grpc-js';
import {type Clock, type Millis} from '@kingcuproute/core';
import {Outbox} from './outbox.js';
import {
	type AnswerMessage,
	type AnswersMessage,
	type QuestionMessage,
	type QuestionsMessage,
} from './shared-rpc.js';

const maxAnswerLen = 1024 * 1024;

/** Answers one question, given the path of its call and its body; throws to refuse it. */
export type Responder = (path: string, body: Uint8Array) => Promise<Uint8Array>;

/** The stream as gRPC hands it to the server. */
export type SharedQuestions = ServerDuplexStream<
	QuestionsMessage,
	AnswersMessage
>;

export class SharedAnswers {
	/** When the last frame of questions came. */
	lastReceivedAt: Millis;
	readonly #outbox: Outbox<AnswerMessage>;

	constructor(
		private readonly call: SharedQuestions,
		private readonly clock: Clock,
		private readonly respond: Responder,
		onEnd: () => void,
	) {
		this.lastReceivedAt = clock.now();
		this.#outbox = new Outbox((items, onSent) => {
			this.#write(items, onSent);
		});
		call.on('data', ({items}: QuestionsMessage) => {
			this.lastReceivedAt = this.clock.now();
			for (const item of items ?? []) {
				void this.#answer(item);
			}
		});
		call.on('error', onEnd);
		call.on('cancelled', onEnd);
		call.on('end', () => {
			onEnd();
			call.end();
		});
	}

	/** Ends the stream. */
	end(): void {
		this.call.end();
	}

	async #answer({id, path, body}: QuestionMessage): Promise<void> {
		try {
			const answer = await this.respond(path ?? '', body ?? new Uint8Array());
			if (answer.length > maxAnswerLen) {
				throw new RangeError(`an answer of ${answer.length} bytes`);
			}

			this.#outbox.add({id, body: answer});
		} catch (error) {
			this.#outbox.add({id, refused: true, reason: String(error)});
		}
	}

	#write(items: AnswerMessage[], onSent: () => void): void {
		if (this.call.cancelled || this.call.writableEnded) {
			return;
		}

		this.call.write({items}, () => {
			onSent();
			if (!this.#outbox.full) {
				this.call.resume();
			}
		});
		if (this.#outbox.full) {
			this.call.pause();
		}
	}
}
