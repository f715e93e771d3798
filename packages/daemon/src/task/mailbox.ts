/**
 * A task's inbox: messages are handled one at a time, in order of arrival, so
 * that the task's state has one writer.
 */

/** Handles one message; the next waits until it is done. */
export type Handler<M> = (message: M) => Promise<void> | void;

/** The message queue of one task. */
export class Mailbox<M> {
	#messages: M[] = [];
	#busy = false;
	#closed = false;

	constructor(
		private readonly handle: Handler<M>,
		private readonly onError: (error: unknown) => void,
	) {}

	/** Adds a message; messages posted after `close` are dropped. */
	post(message: M): void {
		if (this.#closed) {
			return;
		}

		this.#messages.push(message);
		if (!this.#busy) {
			void this.#drain();
		}
	}

	/** Drops the waiting messages; the message being handled is finished. */
	close(): void {
		this.#closed = true;
		this.#messages = [];
	}

	async #drain(): Promise<void> {
		this.#busy = true;
		while (this.#messages.length > 0) {
			try {
				await this.handle(this.#messages.shift()!);
			} catch (error) {
				this.onError(error);
			}
		}

		this.#busy = false;
	}
}
