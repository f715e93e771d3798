/**
 * The answer to one order. A refusal ends its connection, so that a faulty server can't
 * write it once more where the answer to another order is due.
 */
import {type Dispatcher} from 'undici';

export type AnsweredOrder = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
};

const okStatus = 200;

export class OrderAnswer implements Dispatcher.DispatchHandler {
	/** Rejects where no whole answer comes. */
	readonly ended: Promise<AnsweredOrder>;
	#resolve!: (answer: AnsweredOrder) => void;
	#reject!: (error: Error) => void;
	#controller: Dispatcher.DispatchController | undefined;
	#givenUp: Error | undefined;
	#answer: AnsweredOrder | undefined;

	constructor() {
		this.ended = new Promise((resolve, reject) => {
			this.#resolve = resolve;
			this.#reject = reject;
		});
	}

	/** Waits no longer; an order that is not under way yet is not sent any more. */
	giveUp(error: Error): void {
		this.#givenUp = error;
		this.#reject(error);
		this.#controller?.abort(error);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#givenUp) {
			controller.abort(this.#givenUp);
		}
	}

	onResponseStart(
		controller: Dispatcher.DispatchController,
		status: number,
		headers: AnsweredOrder['headers'],
	): void {
		if (status < okStatus) {
			return;
		}

		this.#answer = {status, headers};
		if (status !== okStatus) {
			this.#resolve(this.#answer);
			controller.abort(new Error(`refused with status ${status}`));
		}
	}

	onResponseEnd(): void {
		this.#resolve(this.#answer!);
	}

	onResponseError(_controller: unknown, error: Error): void {
		this.#reject(error);
	}
}
