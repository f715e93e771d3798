/**
 * The answer to one order. A refusal closes its connection, so that a faulty server
 * can't write the refusal again in place of the answer to another order.
 */
import {type Dispatcher} from 'undici';

export type AnsweredOrder = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
};

const okStatus = 200;

export class OrderAnswer implements Dispatcher.DispatchHandler {
	/** Rejects if no complete answer arrives. */
	readonly ended: Promise<AnsweredOrder>;
	#resolve!: (answer: AnsweredOrder) => void;
	#reject!: (error: Error) => void;
	#controller: Dispatcher.DispatchController | undefined;
	#abortReason: Error | undefined;
	#answer: AnsweredOrder | undefined;

	constructor() {
		this.ended = new Promise((resolve, reject) => {
			this.#resolve = resolve;
			this.#reject = reject;
		});
	}

	/** Whether any of the order may have been written. */
	get isSent(): boolean {
		return this.#controller !== undefined;
	}

	/** Stops waiting for the answer; an order that has not been sent yet is never sent. */
	abort(error: Error): void {
		this.#abortReason = error;
		this.#reject(error);
		this.#controller?.abort(error);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#abortReason) {
			controller.abort(this.#abortReason);
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
