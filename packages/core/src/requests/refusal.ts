/** A refusal: why a request was not answered, and whether it may have run. */

/** `not-run` is proved; `unknown` means that some server may have acted on the request. */
export type Ran = 'not-run' | 'unknown';

/** Why a request was refused; callers see these words, so they don't change. */
export type Reason =
	| 'bad-request'
	| 'no-contract'
	| 'no-service'
	| 'over-limit'
	| 'no-owner'
	| 'no-server'
	| 'overloaded'
	| 'deadline'
	| 'quarantined'
	| 'cut-off'
	/** Another request with the same idempotency key was allowed to run. */
	| 'duplicate'
	/** The idempotency key is too old for its record to be kept still. */
	| 'unproved'
	/** No daemon may grant the idempotency key at present. */
	| 'no-key-holder'
	| 'stopping';

/** What a caller gets in place of an answer. */
export type Refusal = {
	readonly reason: Reason;
	readonly ran: Ran;
	/** How long to wait before a retry, in ms; absent when a retry will not help. */
	readonly retryAfterMs?: number;
	/** One sentence for the person who reads the caller's log. */
	readonly message: string;
};
