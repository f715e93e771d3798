/**
 * The checks that a request passes before its first attempt: its body has arrived, it
 * has a route, it is not in quarantine, and its idempotency key has been granted to it.
 */
import {
	BufferLease,
	fingerprintOf,
	fold,
	isIdempotent,
	type Cancel,
	type Refusal,
} from '@kingcuproute/core';
import {Left, Right, type Either} from 'purify-ts';
import {type CallerRequest, type Dependencies} from './caller-request.js';
import {type KeyedRequest} from './keys/key-task.js';
import {RequestBody} from './request-body.js';

/** A request that has passed admission. */
export type Admitted = {
	readonly body: RequestBody;
	readonly fingerprint: string;
	/**
	 * Set if an idempotency key was granted to the request; no other request with this
	 * key may run until it is released.
	 */
	readonly claimed: KeyedRequest | undefined;
};

export class Admission {
	constructor(
		private readonly deps: Dependencies,
		private readonly request: CallerRequest,
	) {}

	/** The body with its first part read, or a refusal if that part did not arrive before the deadline. */
	async body(): Promise<Either<Refusal, RequestBody>> {
		const {clock, settings} = this.deps;
		const {replayLen, maxBodyLen} = settings.requests;
		const {req, deadline} = this.request;
		let cancel: Cancel | undefined;
		const timeout = new Promise<undefined>((resolve) => {
			cancel = clock.after(deadline - clock.now(), () => {
				resolve(undefined);
			});
		});
		try {
			const body = await Promise.race([
				timeout,
				RequestBody.read(req, {
					replayLen,
					maxLen: maxBodyLen,
					lease: BufferLease.unlimited(),
				}),
			]);
			return body ? Right(body) : Left(bodyIncomplete);
		} catch {
			return Left(bodyIncomplete);
		} finally {
			cancel?.();
		}
	}

	/** Refuses a request that has no route, is in quarantine, or is not granted its idempotency key. */
	async admit(body: RequestBody): Promise<Either<Refusal, Admitted>> {
		const fingerprint = this.#fingerprint(body);
		const refusal = this.#unroutable() ?? this.#quarantined(fingerprint);
		if (refusal) {
			return Left(refusal);
		}

		const claimed = this.#keyedRequest();
		const claimRefusal = claimed && (await this.#claim(claimed));
		return claimRefusal
			? Left(claimRefusal)
			: Right({body, fingerprint, claimed});
	}

	async #claim(keyed: KeyedRequest): Promise<Refusal | undefined> {
		const refusal = await this.deps.keys.claim(keyed);
		this.deps.metrics.claimed(refusal);
		return refusal;
	}

	/** Why the request has no route. A missing owner is no reason, as one may still be assigned. */
	#unroutable(): Refusal | undefined {
		return fold(
			this.deps.routing.routing.value.route(this.request.head),
			(refusal) => (refusal.reason === 'no-owner' ? undefined : refusal),
			() => undefined,
		);
	}

	#quarantined(fingerprint: string): Refusal | undefined {
		const {quarantine} = this.deps;
		if (quarantine.isCondemned(fingerprint)) {
			return quarantined('backend servers crashed with this request in flight');
		}

		const retryAfterMs = quarantine.heldMs(fingerprint);
		return retryAfterMs > 0
			? {
					...quarantined(
						'lost at two backend servers; whether they crashed is being checked',
					),
					retryAfterMs,
				}
			: undefined;
	}

	/** The request with its idempotency key, if its method is not idempotent and it carries one. */
	#keyedRequest(): KeyedRequest | undefined {
		const {head, id, req, deadline} = this.request;
		const idempotencyKey = req.headers['idempotency-key'];
		if (isIdempotent(req.method ?? '') || typeof idempotencyKey !== 'string') {
			return undefined;
		}

		const {customer, service} = head;
		return {customer, service, idempotencyKey, id, deadline};
	}

	#fingerprint({first}: RequestBody): string {
		const {head, req} = this.request;
		return fingerprintOf({
			method: req.method ?? '',
			path: req.url ?? '',
			customer: head.customer,
			key: head.key ?? '',
			idempotencyKey: String(req.headers['idempotency-key'] ?? ''),
			body: first,
		});
	}
}

function quarantined(message: string): Refusal {
	return {reason: 'quarantined', ran: 'not-run', message};
}

const bodyIncomplete: Refusal = {
	reason: 'deadline',
	ran: 'not-run',
	message: 'the request body did not arrive before the deadline',
};
