/**
 * One attempt at one backend server: sends the request once, judges the answer's
 * head, and passes the answer on at the caller's pace.
 *
 * The request counts as sent from the moment the connection takes it up, before its
 * first byte is written. It is never written twice: a connection that would take it
 * up again is aborted.
 */
import {type ServerResponse} from 'node:http';
import {
	forwardedHeaders,
	type AnswerHead,
	type AttemptEnd,
	type Cancel,
	type Clock,
	type Judgement,
	type Millis,
} from '@kingcuproute/core';
import {type Dispatcher} from 'undici';
import {HeldBytes} from './held-bytes.js';
import {type BodySource} from './request-body.js';
import {
	type IdentifiedRequest,
	type ServerConnection,
} from './server-connection.js';

/** About what is under way on a connection; a new one costs less than reading more. */
const maxDropLen = 65_536;

/** Parts of one answer taken in a row: some ten milliseconds' work; at each pause undici copies what it has not parsed yet. */
const maxTurnParts = 4096;

/** What is sent, and within which bounds. */
export type AttemptPlan = {
	/** Which its answer bears. */
	readonly id: string;
	readonly method: string;
	readonly path: string;
	/** Name, value, name, value. */
	readonly headers: readonly string[];
	readonly body: BodySource;
	/** Until the answer's head is here, in ms. */
	readonly timeoutMs: Millis;
	/** Until the answer is whole, in ms. */
	readonly wholeMs: Millis;
	/** How long an answer that has begun may stand still, in ms. */
	readonly idleMs: Millis;
	/** An answer is passed on only once it is whole or longer than this. */
	readonly holdLen: number;
	/** Takes the caller for this attempt's answer; false when another attempt has it. */
	readonly claim: () => boolean;
	/** Says what may be done with an answer. */
	readonly judge: (head: AnswerHead) => Judgement;
	/** Whether a connection whose end is being reported was reset, so that the answer is not whole. */
	readonly endsReset: () => boolean;
	/** Fields that the caller gets beside the server's: name, value, name, value. */
	readonly added: readonly string[];
};

export class Attempt implements Dispatcher.DispatchHandler {
	readonly ended: Promise<AttemptEnd>;
	/** From handing over to the answer's head, or to the end if there was none, in ms. */
	latencyMs: Millis = 0;
	#handedAt: Millis = 0;
	#settle!: (end: AttemptEnd) => void;
	#over = false;
	#controller: Dispatcher.DispatchController | undefined;
	#connection: ServerConnection | undefined;
	readonly #wholeBy: Millis;
	#cancelTimer: Cancel;
	#status = 0;
	#headers: string[] = [];
	/** Of an answer that is held until it is whole. */
	#held: HeldBytes | undefined;
	#parts = 0;
	/** Of an answer that goes to nobody. */
	#droppedLen = 0;

	constructor(
		private readonly plan: AttemptPlan,
		private readonly res: ServerResponse,
		private readonly clock: Clock,
	) {
		this.ended = new Promise((resolve) => {
			this.#settle = resolve;
		});
		this.#wholeBy = clock.now() + plan.wholeMs;
		this.#cancelTimer = clock.after(plan.timeoutMs, () => {
			this.#timedOut();
		});
	}

	/** Hands the request to `dispatcher`. */
	send(dispatcher: Dispatcher): void {
		const {id, method, path, headers, body, idleMs} = this.plan;
		this.#handedAt = this.clock.now();
		const request: IdentifiedRequest = {
			id,
			takenBy: (connection) => {
				this.#connection = connection;
			},
			method,
			path,
			headers: [...headers],
			body: body as Dispatcher.DispatchOptions['body'],
			headersTimeout: 0,
			bodyTimeout: idleMs,
		};
		dispatcher.dispatch(request, this);
	}

	/** Gives up because nobody waits for the answer; the server sees its connection close. */
	cancel(): void {
		this.#end({kind: 'cancelled'});
		this.#abort('cancelled');
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#over || this.#controller) {
			controller.abort(new Error('request would be sent after its end'));
			return;
		}

		this.#controller = controller;
	}

	onResponseStart(
		_controller: Dispatcher.DispatchController,
		status: number,
		headers: Record<string, string | string[] | undefined>,
	): void {
		if (status < 200 || this.#over) {
			return;
		}

		this.latencyMs = this.clock.now() - this.#handedAt;
		const {holdLen, judge} = this.plan;
		const judgement = judge({status, headers});
		switch (judgement.kind) {
			case 'unusable': {
				this.#lose(judgement.message);
				break;
			}

			case 'declined': {
				const {retryAfterMs} = judgement;
				this.#connection?.declined(this.plan.id);
				const message = `the server declined with status ${status}`;
				this.#end({
					kind: 'declined',
					status,
					message,
					...(retryAfterMs !== undefined && {retryAfterMs}),
				});
				this.#boundAnswer();
				break;
			}

			case 'pass': {
				if (!this.plan.claim()) {
					this.cancel();
					break;
				}

				this.#boundAnswer();
				this.#status = status;
				this.#headers = forwardedHeaders(rawOf(headers));
				this.#begin((judgement.bodyLen ?? Infinity) <= holdLen);
				break;
			}
		}
	}

	onResponseData(
		controller: Dispatcher.DispatchController,
		chunk: Uint8Array,
	): void {
		if (this.#over) {
			this.#drop(chunk);
			return;
		}

		if (!this.#take(chunk)) {
			this.#awaitCaller(controller);
		} else if (++this.#parts % maxTurnParts === 0) {
			this.#awaitTurn(controller);
		}
	}

	onResponseEnd(): void {
		this.#cancelTimer();
		if (this.#over) {
			return;
		}

		if (this.plan.endsReset()) {
			this.onResponseError(undefined, new Error('the connection was reset'));
			return;
		}

		if (this.#held) {
			this.#letGo();
		}

		this.res.end();
		this.#end({kind: 'answered', status: this.#status});
	}

	onResponseError(_controller: unknown, error: Error): void {
		this.#cancelTimer();
		const {message} = error;
		if (!this.#controller) {
			this.#end({kind: 'unsent', message});
		} else if (this.res.headersSent) {
			this.#end({kind: 'cut', message});
		} else {
			this.#end({kind: 'lost', message, silent: false, reset: true});
		}
	}

	/** Holds a part or passes it on; false when the caller is to be waited for. */
	#take(chunk: Uint8Array): boolean {
		if (!this.#held) {
			return this.res.write(chunk);
		}

		this.#held.add(chunk);
		return this.#held.len <= this.plan.holdLen || this.#letGo();
	}

	#begin(holds: boolean): void {
		if (holds) {
			this.#held = new HeldBytes();
		} else {
			this.#writeHead();
		}
	}

	/** Passes on what is held, and from there on each part as it comes; false as `write` says it. */
	#letGo(): boolean {
		const {blocks = []} = this.#held ?? {};
		this.#held = undefined;
		this.#writeHead();
		return blocks
			.filter(({length}) => length > 0)
			.map((block) => this.res.write(block))
			.every(Boolean);
	}

	#writeHead(): void {
		this.res.writeHead(this.#status, [...this.#headers, ...this.plan.added]);
	}

	/** Reads on after other connections. */
	#awaitTurn(controller: Dispatcher.DispatchController): void {
		controller.pause();
		setImmediate(() => {
			controller.resume();
		});
	}

	#awaitCaller(controller: Dispatcher.DispatchController): void {
		controller.pause();
		const cancel = this.clock.after(this.plan.idleMs, () => {
			this.#end({kind: 'cut', message: 'the caller stopped reading'});
			this.#abort('the caller stopped reading');
		});
		const over = () => {
			cancel();
			this.res.off('drain', go);
			this.res.off('close', over);
		};

		const go = () => {
			over();
			controller.resume();
		};

		this.res.on('drain', go);
		this.res.on('close', over);
	}

	#timedOut(): void {
		const message = `no answer in ${Math.round(this.plan.timeoutMs)} ms`;
		if (!this.#controller) {
			this.#end({kind: 'unsent', message});
			return;
		}

		this.#end({kind: 'lost', message, silent: true, reset: false});
		this.#abort(message);
	}

	/** Leaves the answer until it has to be whole. */
	#boundAnswer(): void {
		const {clock, plan} = this;
		this.#cancelTimer();
		this.#cancelTimer = clock.after(this.#wholeBy - clock.now(), () => {
			const message = `no whole answer in ${Math.round(plan.wholeMs)} ms`;
			if (this.res.headersSent) {
				this.#end({kind: 'cut', message});
				this.#abort(message);
			} else {
				this.#lose(message);
			}
		});
	}

	/** Reads past what nobody gets, so that its connection can be used again. */
	#drop(chunk: Uint8Array): void {
		this.#droppedLen += chunk.length;
		if (this.#droppedLen > maxDropLen) {
			this.#abort('more than is read past');
		}
	}

	#lose(message: string): void {
		this.#end({kind: 'lost', message, silent: false, reset: false});
		this.#abort(message);
	}

	#abort(message: string): void {
		this.#controller?.abort(new Error(message));
	}

	#end(end: AttemptEnd): void {
		if (!this.#over) {
			this.#over = true;
			this.latencyMs ||= this.clock.now() - this.#handedAt;
			this.#cancelTimer();
			this.#settle(end);
		}
	}
}

function rawOf(
	headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): string[] {
	return Object.entries(headers).flatMap(([name, value]) =>
		[value ?? []].flat().flatMap((one) => [name, one]),
	);
}
