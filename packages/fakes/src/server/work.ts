/**
 * The requests that a stand-in backend server works on. They run in a bounded number
 * of slots. A request that waited past its deadline, or whose caller closed the
 * connection, is not started. Journals record what ran, was cancelled or declined.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';

/** One request that ran, or was cancelled before it began. */
export type Run = {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly key: string;
	readonly at: number;
	/** The deadline in the request's header, in ms. */
	readonly deadlineMs: number | undefined;
	/** The caller's TCP port, which identifies the connection. */
	readonly callerPort: number | undefined;
};

/** Why a request was not started. */
export type StartRefusal = 'cancelled' | 'expired';

export class Work {
	/** Requests that ran. */
	readonly journal: Run[] = [];
	/** Requests whose caller closed the connection before the answer was written. */
	readonly cancelled: Run[] = [];
	/** Requests declined as not run. */
	readonly declined: Run[] = [];
	inFlight = 0;
	readonly #waiting: Array<() => void> = [];

	constructor(private readonly slots: number) {}

	/** Waits for a slot and takes it; returns the reason if the request must not run any more. */
	async begin(
		req: IncomingMessage,
		res: ServerResponse,
	): Promise<StartRefusal | undefined> {
		const run = runOf(req);
		res.once('close', () => {
			if (!res.writableFinished) {
				this.cancelled.push(run);
			}
		});
		const arrivedAt = performance.now();
		if (this.inFlight >= this.slots) {
			await new Promise<void>((resolve) => {
				this.#waiting.push(resolve);
			});
		}

		const waitedMs = performance.now() - arrivedAt;
		const refusal = res.destroyed
			? 'cancelled'
			: waitedMs > (run.deadlineMs ?? Infinity)
				? 'expired'
				: undefined;
		if (refusal) {
			this.#wakeNext();
		} else {
			this.inFlight++;
		}

		return refusal;
	}

	/** Records that the request ran: its effect exists from here on. */
	ran(req: IncomingMessage): void {
		this.journal.push(runOf(req));
	}

	/** Records that the request was declined. */
	decline(req: IncomingMessage): void {
		this.declined.push(runOf(req));
	}

	/** Frees the slot of a request. */
	end(): void {
		this.inFlight--;
		this.#wakeNext();
	}

	#wakeNext(): void {
		this.#waiting.shift()?.();
	}
}

function runOf({headers, method = '', url = '', socket}: IncomingMessage): Run {
	const deadline = headers['x-kingcup-deadline-ms'];
	return {
		id: String(headers['x-kingcup-request-id'] ?? ''),
		method,
		path: url,
		key: String(headers['x-key'] ?? ''),
		at: performance.now(),
		deadlineMs: deadline === undefined ? undefined : Number(deadline),
		callerPort: socket.remotePort,
	};
}
