/**
 * One attempt at one backend server: sends the request once, checks the status and
 * headers of the answer, and passes the answer on at the caller's pace.
 *
 * The request counts as sent as soon as a connection starts it, before its first byte
 * is written. It is never written twice: if a connection would start it again, it is
 * aborted.
 */
import {type ServerResponse} from 'node:http';
import {
	forwardedHeaders,
	type AnswerHead,
	type AttemptEnd,
	type BufferLease,
	type Cancel,
	type Clock,
	type AnswerVerdict,
	type Millis,
} from '@kingcuproute/core';
import {type Dispatcher} from 'undici';
import {HeldBytes} from './held-bytes.js';
import {type BodySource} from './request-body.js';
import {
	type IdentifiedRequest,
	type ServerConnection,
} from './server-connection.js';

/** About the bytes in flight on a connection; reading more costs more than a new connection. */
const maxDiscardLen = 65_536;

/**
 * Parts of one answer handled in a row, about ten milliseconds' work. More pauses would
 * cost more, as undici copies its unparsed bytes at each.
 */
const maxTurnParts = 4096;

/** The request to send, and the limits of the attempt. */
export type AttemptPlan = {
	/** The request id, which the answer must carry. */
	readonly id: string;
	readonly method: string;
	readonly path: string;
	/** Name, value, name, value. */
	readonly headers: readonly string[];
	readonly body: BodySource;
	/** Time until the answer's headers have arrived, in ms. */
	readonly timeoutMs: Millis;
	/** Time until the answer is complete, in ms. */
	readonly answerTimeoutMs: Millis;
	/** How long an answer that has begun may make no progress, in ms. */
	readonly idleMs: Millis;
	/** An answer is buffered until it is complete or longer than this many bytes, then passed on. */
	readonly holdLen: number;
	/** The memory for the buffered answer; without room in it the answer is passed on earlier. */
	readonly lease: BufferLease;
	/** Whether the request may still be sent to this server, asked when a connection is ready. */
	readonly mayStart: () => boolean;
	/** Claims the caller's response for this attempt's answer; false if another attempt has it. */
	readonly claim: () => boolean;
	/** Decides from the status and headers whether an answer is passed on. */
	readonly checkAnswer: (head: AnswerHead) => AnswerVerdict;
	/** Whether the connection whose end is being reported was reset, so that the answer is incomplete. */
	readonly endIsReset: () => boolean;
	/** Headers added to those of the server's answer: name, value, name, value. */
	readonly addedHeaders: readonly string[];
};

export class Attempt implements Dispatcher.DispatchHandler {
	readonly ended: Promise<AttemptEnd>;
	/** Time from `send` to the answer's headers, or to the end if there were none, in ms. */
	latencyMs: Millis = 0;
	/** Time from `send` until a connection began to send the request, in ms. */
	startMs: Millis = 0;
	#sentAt: Millis = 0;
	#settle!: (end: AttemptEnd) => void;
	#over = false;
	#controller: Dispatcher.DispatchController | undefined;
	#connection: ServerConnection | undefined;
	readonly #completeBy: Millis;
	#cancelTimer: Cancel;
	#status = 0;
	#headers: string[] = [];
	/** The body of an answer that is buffered until it is complete. */
	#held: HeldBytes | undefined;
	#parts = 0;
	/** Bytes read of an answer that is discarded. */
	#discardedLen = 0;

	constructor(
		private readonly plan: AttemptPlan,
		private readonly res: ServerResponse,
		private readonly clock: Clock,
	) {
		this.ended = new Promise((resolve) => {
			this.#settle = resolve;
		});
		this.#completeBy = clock.now() + plan.answerTimeoutMs;
		this.#cancelTimer = clock.after(plan.timeoutMs, () => {
			this.#handleTimeout();
		});
	}

	/** Dispatches the request. */
	send(dispatcher: Dispatcher): void {
		const {id, method, path, headers, body, idleMs} = this.plan;
		this.#sentAt = this.clock.now();
		const request: IdentifiedRequest = {
			id,
			onConnection: (connection) => {
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

	/** Whether a connection has begun to send the request and the attempt has not ended. */
	get isAtServer(): boolean {
		return this.#controller !== undefined && !this.#over;
	}

	/**
	 * Aborts the attempt because nobody waits for the answer; the server sees its connection
	 * close. If no connection has begun to send the request, none will.
	 */
	cancel(): void {
		this.#end({kind: 'cancelled'});
		this.#abort('cancelled');
	}

	/** Takes the request back if no connection has begun to send it; none will. */
	withdraw(): void {
		if (!this.#controller) {
			const message = 'the server may get no requests any more';
			this.#end({kind: 'unsent', message, withdrawn: true});
		}
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (!this.#over && !this.#controller && !this.plan.mayStart()) {
			this.withdraw();
		}

		if (this.#over || this.#controller) {
			controller.abort(new Error('the request has ended or was sent already'));
			return;
		}

		this.#controller = controller;
		this.startMs = this.clock.now() - this.#sentAt;
	}

	onResponseStart(
		_controller: Dispatcher.DispatchController,
		status: number,
		headers: Record<string, string | string[] | undefined>,
	): void {
		if (status < 200 || this.#over) {
			return;
		}

		this.latencyMs = this.clock.now() - this.#sentAt;
		const {holdLen, checkAnswer} = this.plan;
		const verdict = checkAnswer({status, headers});
		switch (verdict.kind) {
			case 'unusable': {
				this.#endLost(verdict.message);
				break;
			}

			case 'declined': {
				const {retryAfterMs} = verdict;
				this.#connection?.declined(this.plan.id);
				const message = `the server declined with status ${status}`;
				this.#end({
					kind: 'declined',
					status,
					message,
					...(retryAfterMs !== undefined && {retryAfterMs}),
				});
				this.#startAnswerTimer();
				break;
			}

			case 'pass': {
				if (!this.plan.claim()) {
					this.cancel();
					break;
				}

				this.#startAnswerTimer();
				this.#status = status;
				this.#headers = forwardedHeaders(rawHeaders(headers));
				this.#beginAnswer((verdict.bodyLen ?? Infinity) <= holdLen);
				break;
			}
		}
	}

	onResponseData(
		controller: Dispatcher.DispatchController,
		chunk: Uint8Array,
	): void {
		if (this.#over) {
			this.#discard(chunk);
			return;
		}

		if (!this.#bufferOrWrite(chunk)) {
			this.#awaitDrain(controller);
		} else if (++this.#parts % maxTurnParts === 0) {
			this.#yieldTurn(controller);
		}
	}

	onResponseEnd(): void {
		this.#cancelTimer();
		if (this.#over) {
			return;
		}

		if (this.plan.endIsReset()) {
			this.onResponseError(undefined, new Error('the connection was reset'));
			return;
		}

		if (this.#held) {
			this.#flush();
		}

		this.res.end();
		this.#end({kind: 'answered', status: this.#status});
	}

	onResponseError(_controller: unknown, error: Error): void {
		this.#cancelTimer();
		const {message} = error;
		if (!this.#controller) {
			const refused = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
			this.#end({kind: 'unsent', message, refused});
		} else if (this.res.headersSent) {
			this.#end({kind: 'cut', message});
		} else {
			this.#end({kind: 'lost', message, silent: false, reset: true});
		}
	}

	/** Buffers a part or writes it to the caller; false if the caller must be waited for. */
	#bufferOrWrite(chunk: Uint8Array): boolean {
		if (!this.#held) {
			return this.res.write(chunk);
		}

		this.#held.add(chunk);
		const {holdLen, lease} = this.plan;
		const mayHold = this.#held.len <= holdLen && lease.tryReserve(chunk.length);
		return mayHold || this.#flush();
	}

	#beginAnswer(buffers: boolean): void {
		if (buffers) {
			this.#held = new HeldBytes();
		} else {
			this.#writeHead();
		}
	}

	/**
	 * Writes the headers and the buffered parts, after which each part is written as it
	 * arrives; false if a `write` returned false.
	 */
	#flush(): boolean {
		const {blocks = []} = this.#held ?? {};
		this.#held = undefined;
		this.#writeHead();
		return blocks
			.filter(({length}) => length > 0)
			.map((block) => this.res.write(block))
			.every(Boolean);
	}

	#writeHead(): void {
		this.res.writeHead(this.#status, [
			...this.#headers,
			...this.plan.addedHeaders,
		]);
	}

	/** Lets other connections be read before this one. */
	#yieldTurn(controller: Dispatcher.DispatchController): void {
		controller.pause();
		setImmediate(() => {
			controller.resume();
		});
	}

	#awaitDrain(controller: Dispatcher.DispatchController): void {
		controller.pause();
		const cancel = this.clock.after(this.plan.idleMs, () => {
			this.#end({kind: 'cut', message: 'the caller stopped reading'});
			this.#abort('the caller stopped reading');
		});
		const stopWaiting = () => {
			cancel();
			this.res.off('drain', resume);
			this.res.off('close', stopWaiting);
		};

		const resume = () => {
			stopWaiting();
			this.plan.lease.release();
			controller.resume();
		};

		this.res.on('drain', resume);
		this.res.on('close', stopWaiting);
	}

	#handleTimeout(): void {
		const message = `no answer in ${Math.round(this.plan.timeoutMs)} ms`;
		if (!this.#controller) {
			this.#end({kind: 'unsent', message});
			return;
		}

		this.#end({kind: 'lost', message, silent: true, reset: false});
		this.#abort(message);
	}

	/** Replaces the timer for the headers by one for the complete answer. */
	#startAnswerTimer(): void {
		const {clock, plan} = this;
		this.#cancelTimer();
		this.#cancelTimer = clock.after(this.#completeBy - clock.now(), () => {
			const message = `no complete answer in ${Math.round(plan.answerTimeoutMs)} ms`;
			if (this.res.headersSent) {
				this.#end({kind: 'cut', message});
				this.#abort(message);
			} else {
				this.#endLost(message);
			}
		});
	}

	/**
	 * Discards part of an answer that is not passed on; it is read so that its connection
	 * can be used again.
	 */
	#discard(chunk: Uint8Array): void {
		this.#discardedLen += chunk.length;
		if (this.#discardedLen > maxDiscardLen) {
			this.#abort('the discarded answer is too long');
		}
	}

	#endLost(message: string): void {
		this.#end({kind: 'lost', message, silent: false, reset: false});
		this.#abort(message);
	}

	#abort(message: string): void {
		this.#controller?.abort(new Error(message));
	}

	#end(end: AttemptEnd): void {
		if (!this.#over) {
			this.#over = true;
			this.latencyMs ||= this.clock.now() - this.#sentAt;
			this.#cancelTimer();
			this.#settle(end);
		}
	}
}

function rawHeaders(
	headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): string[] {
	return Object.entries(headers).flatMap(([name, value]) =>
		[value ?? []].flat().flatMap((item) => [name, item]),
	);
}
