/**
 * A request as the quarantine sees it: whether it is refused, and what its attempts show.
 * Its fingerprint is taken only if that can matter.
 */
import {type IncomingMessage} from 'node:http';
import {
	fingerprintOf,
	type AttemptEnd,
	type ListedServer,
} from '@kingcuproute/core';
import {type RequestBody} from '../requests/request-body.js';
import {type CrashQuarantine} from './crash-quarantine.js';
import {type RequestEnd} from './request-end.js';

/** Bytes at the beginning of the body that tell requests apart. */
const fingerprintedLen = 4096;

/** What tells a request apart, besides its header. */
export type RequestContent = {
	/** Set for services divided by key. */
	readonly key: number | undefined;
	readonly body: RequestBody;
};

export class SuspectRequest {
	#fingerprint: string | undefined;

	constructor(
		private readonly quarantine: CrashQuarantine,
		private readonly req: IncomingMessage,
		private readonly content: RequestContent,
	) {}

	/** The refusal of the request while it is in quarantine. */
	get refusal(): RequestEnd | undefined {
		const {quarantine} = this;
		const leftMs = quarantine.isIdle
			? 0
			: quarantine.leftMs(this.#fingerprintOf());
		return leftMs > 0
			? {reason: 'quarantined', notRun: true, retryAfterMs: leftMs}
			: undefined;
	}

	/** Records how an attempt at `server` ended. */
	recordEnd(server: ListedServer, end: AttemptEnd): void {
		const {quarantine} = this;
		if (end.kind === 'unsent' && end.refused) {
			quarantine.ended(server);
		} else if (end.kind === 'lost' && (end.reset || end.silent)) {
			quarantine.lost(server, this.#fingerprintOf());
		} else if (end.kind === 'answered' && !quarantine.isIdle) {
			quarantine.answered(this.#fingerprintOf());
		}
	}

	#fingerprintOf(): string {
		const {method = 'GET', headers, url = '/'} = this.req;
		const {key, body} = this.content;
		this.#fingerprint ??= fingerprintOf({
			method,
			path: `${headers.host}${url}`,
			customer: '',
			key: String(key),
			idempotencyKey: '',
			body: body.first.subarray(0, fingerprintedLen),
		});
		return this.#fingerprint;
	}
}
