/**
 * Remembers when a call to the platform's store last failed, of whatever kind, the first
 * sign that this daemon or the store is cut off, and when the store last was away.
 */
import {StoreAbsence, type Clock, type Millis} from '@kingcuproute/core';
import {type Deployment, type ObjectError} from '@kingcuproute/platform';
import {type Either} from 'purify-ts';
import {inject, singleton} from 'tsyringe';

/** When calls of a peer to the store were last answered and last failed, and since when there was no absence. */
export type PeerContact = {
	readonly answeredAt: Millis;
	readonly failedAt: Millis;
	readonly since: Millis;
};

@singleton()
export class StoreContact {
	readonly absence: StoreAbsence;
	#lastFailureAt: Millis = -Infinity;
	#lastAnswerAt: Millis = -Infinity;

	constructor(
		@inject('Clock') private readonly clock: Clock,
		@inject('Deployment') {serverReportMs}: Pick<Deployment, 'serverReportMs'>,
	) {
		this.absence = new StoreAbsence(serverReportMs);
	}

	/** -Infinity if no call has failed. */
	get lastFailureAt(): Millis {
		return this.#lastFailureAt;
	}

	/** When a call of this daemon, or of the peer that it reads from, was last answered; -Infinity if none was. */
	get lastAnswerAt(): Millis {
		return this.#lastAnswerAt;
	}

	/** Whether the last call that says something about the store failed. */
	get isFailing(): boolean {
		return this.#lastFailureAt > this.#lastAnswerAt;
	}

	/** For how long, up to the last answer, the store has answered without an absence. */
	get unbrokenMs(): Millis {
		const {answersSince} = this.absence;
		return answersSince === undefined
			? 0
			: Math.max(0, this.#lastAnswerAt - answersSince);
	}

	/** Records that a call failed, or that one of a peer has, at `at`. */
	failed(at: Millis): void {
		this.#lastFailureAt = Math.max(this.#lastFailureAt, at);
	}

	/** Records the contact of the peer that this daemon reads from. */
	heardOf({answeredAt, failedAt, since}: PeerContact): void {
		this.failed(failedAt);
		if (answeredAt > this.#lastAnswerAt) {
			this.#lastAnswerAt = answeredAt;
			this.absence.heardOf({since, until: answeredAt});
		}
	}

	/**
	 * Resolves with the outcome of `call`, recorded. An object that is missing, or at
	 * another revision, is an answer. A call that has lasted for `outdatedMs` says how the
	 * store was reached when it began, which later calls have shown already.
	 */
	async observe<T>(
		call: Promise<Either<ObjectError, T>>,
		outdatedMs: Millis = Infinity,
	): Promise<Either<ObjectError, T>> {
		const startedAt = this.clock.now();
		const outcome = await call;
		const now = this.clock.now();
		if (!isFailure(outcome)) {
			this.#answered(now);
		} else if (now - startedAt < outdatedMs) {
			this.#lastFailureAt = now;
		}

		return outcome;
	}

	#answered(at: Millis): void {
		this.#lastAnswerAt = at;
		this.absence.answered(at);
	}
}

function isFailure(outcome: Either<ObjectError, unknown>): boolean {
	const error = outcome.isLeft() ? outcome.extract() : undefined;
	return error?.kind === 'refused' || error?.kind === 'unknown';
}
