/** Ends a request without a server's answer: with a refusal, or by closing the caller's connection. */
import {type Refusal} from '@kingcuproute/core';
import {type CallerRequest, type Dependencies} from './caller-request.js';
import {type KeyedRequest} from './keys/key-task.js';
import {sendRefusal} from './refusal-answer.js';
import {RequestLines} from './request-lines.js';

export class Reply {
	readonly #lines: RequestLines;

	constructor(
		private readonly deps: Dependencies,
		private readonly request: CallerRequest,
	) {
		this.#lines = new RequestLines(deps.log, request);
	}

	/**
	 * Refuses the request. If it is proved not to have run, its idempotency key is
	 * released first, so that a resend can claim it.
	 */
	async refuse(
		{reason, ran, message, retryAfterMs}: Refusal,
		claimed?: KeyedRequest,
	): Promise<'refused'> {
		const refusal = {reason, ran, message};
		this.#lines.refused(refusal);
		this.deps.metrics.refused(this.request.head.service, refusal);
		if (ran === 'not-run' && claimed) {
			await this.deps.keys.release(claimed);
		}

		sendRefusal(
			this.request.res,
			this.request.id,
			retryAfterMs === undefined ? refusal : {...refusal, retryAfterMs},
		);
		return 'refused';
	}

	/** Closes the caller's connection because the answer cannot be completed. */
	cut(): void {
		this.request.res.destroy();
	}
}
