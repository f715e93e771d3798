/**
 * The retry state of one request: what its attempts so far show about whether it ran,
 * and whether it may be retried.
 *
 * A request that is not idempotent is retried only while every attempt so far is proved
 * not to have run. An idempotent one is retried within its deadline and the retry budget.
 */
import {type Millis} from '../time/clock.js';
import {ranAfter, type AttemptEnd} from './attempt-end.js';
import {type Ran, type Reason} from './refusal.js';

/** Properties of a request that don't change between attempts. */
export type RetryStateOptions = {
	readonly idempotent: boolean;
	/** When the caller stops waiting, on the daemon's clock. */
	readonly deadline: Millis;
	/** True when only one server may run it. */
	readonly keyed: boolean;
};

/** The circumstances at the time of a retry decision. */
export type RetryConditions = {
	readonly now: Millis;
	/** Whether the retry budget allows a retry. */
	readonly hasBudget: boolean;
	/** Whether the whole body can be sent again. */
	readonly replayable: boolean;
};

/** Retry after a pause. */
export type Retry = {
	readonly kind: 'again';
	readonly afterMs: Millis;
	/** True when the retry counts against the budget. */
	readonly usesBudget: boolean;
};

/** Refuse the request to the caller. */
export type Refuse = {
	readonly kind: 'refuse';
	readonly reason: Reason;
	readonly ran: Ran;
	readonly message: string;
	readonly retryAfterMs: Millis;
};

/** Nothing more to do. */
export type Done = {readonly kind: 'done'};

export type Step = Retry | Refuse | Done;

const misdirectedStatus = 421;
/** Most attempts after which the request may have run. */
const maxRuns = 3;
/** Most attempts in all, for a request that more than one server may run. */
const maxAttempts = 8;
/** A request that was in flight on this many broken connections is not retried. */
const maxResets = 2;
const firstPauseMs: Millis = 20;
const maxPauseMs: Millis = 250;
const refusedRetryMs: Millis = 1000;
/** An attempt is not started with less time than this left. */
const minAttemptMs: Millis = 5;

/** Counts over the attempts so far. */
type Tally = {
	/** Attempts that have ended. */
	readonly attempts: number;
	/** Attempts after which the request may have run. */
	readonly runs: number;
	/** Attempts whose connection broke with the request in flight. */
	readonly resets: number;
	/** Whether a hedged attempt was sent. */
	readonly hedged: boolean;
};

const noAttempts: Tally = {attempts: 0, runs: 0, resets: 0, hedged: false};

export class RetryState {
	static begin(options: RetryStateOptions): RetryState {
		return new RetryState(options, noAttempts);
	}

	private constructor(
		readonly options: RetryStateOptions,
		private readonly tally: Tally,
	) {}

	/** Attempts that have ended. */
	get attempts(): number {
		return this.tally.attempts;
	}

	/** `not-run` while that is proved for every attempt. */
	get ran(): Ran {
		return this.tally.runs === 0 ? 'not-run' : 'unknown';
	}

	/** The state after one more attempt has ended. */
	after(end: AttemptEnd): RetryState {
		const {attempts, runs, resets} = this.tally;
		const reset = end.kind === 'lost' && end.reset;
		return new RetryState(this.options, {
			...this.tally,
			attempts: attempts + 1,
			runs: runs + (ranAfter(end) === 'unknown' ? 1 : 0),
			resets: resets + (reset ? 1 : 0),
		});
	}

	/** The next step after an attempt that ended with `end`; `this` already counts it. */
	next(end: AttemptEnd, conditions: RetryConditions): Step {
		if (
			end.kind === 'answered' ||
			end.kind === 'cut' ||
			end.kind === 'cancelled'
		) {
			return {kind: 'done'};
		}

		const afterMs = this.#pauseMs(end);
		const hasTime =
			conditions.now + afterMs + minAttemptMs < this.options.deadline;
		const usesBudget = !this.#addsNoLoad(end);
		const allowed =
			(this.options.keyed && !usesBudget) ||
			(this.#hasAttempts && (!usesBudget || conditions.hasBudget));
		if (this.mayRepeat && conditions.replayable && hasTime && allowed) {
			return {kind: 'again', afterMs, usesBudget};
		}

		return {
			kind: 'refuse',
			reason: reasonOf(end, hasTime),
			ran: this.ran,
			message: end.message,
			retryAfterMs:
				(end.kind === 'declined' ? end.retryAfterMs : undefined) ??
				refusedRetryMs,
		};
	}

	/** Whether another attempt is safe: it can't run a non-idempotent request twice. */
	get mayRepeat(): boolean {
		return this.options.idempotent || this.ran === 'not-run';
	}

	/** Whether a hedged attempt may be sent alongside the next one. */
	get mayHedge(): boolean {
		const {idempotent, keyed} = this.options;
		const {attempts, runs, resets, hedged} = this.tally;
		const mayAddTwo = attempts + 1 < maxAttempts && runs + 1 < maxRuns;
		return idempotent && !keyed && !hedged && resets === 0 && mayAddTwo;
	}

	/** The state after a hedged attempt was sent; both attempts count when they end. */
	hedged(): RetryState {
		return new RetryState(this.options, {...this.tally, hedged: true});
	}

	/**
	 * How long the next attempt may wait for an answer: all the time that is left, or half
	 * of it if another attempt may follow, so that a silent connection leaves time for it.
	 */
	attemptMs(now: Millis): Millis {
		const left = Math.max(0, this.options.deadline - now);
		const mayRunAgain =
			this.options.idempotent && this.tally.runs + 1 < maxRuns;
		return mayRunAgain ? left / 2 : left;
	}

	get #hasAttempts(): boolean {
		const {attempts, runs, resets} = this.tally;
		return attempts < maxAttempts && runs < maxRuns && resets < maxResets;
	}

	/** Whether a retry adds no load: no server was reached, or the request waits for the owner of its key. */
	#addsNoLoad(end: AttemptEnd): boolean {
		return (
			end.kind === 'unsent' ||
			(this.options.keyed && ranAfter(end) === 'not-run')
		);
	}

	#pauseMs(end: AttemptEnd): Millis {
		if (this.options.keyed || end.kind === 'declined') {
			return Math.min(maxPauseMs, firstPauseMs * 2 ** (this.attempts - 1));
		}

		return 0;
	}
}

function reasonOf(end: AttemptEnd, hasTime: boolean): Reason {
	if (end.kind === 'declined') {
		return end.status === misdirectedStatus ? 'no-owner' : 'overloaded';
	}

	if (!hasTime) {
		return 'deadline';
	}

	return end.kind === 'unsent' ? 'no-server' : 'cut-off';
}
