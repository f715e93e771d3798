/** Identifies a request and the caller's resends of it by a short string. */
import {hash64, hashBytes} from '../../chance/hash.js';

/** The parts of a request that its resends have in common. */
export type RequestIdentity = {
	readonly method: string;
	readonly path: string;
	readonly customer: string;
	readonly key: string;
	readonly idempotencyKey: string;
	/** The first part of the body. */
	readonly body: Uint8Array;
};

const radix = 36;

/** Equal for resends of a request; different requests rarely have the same fingerprint. */
export function fingerprintOf(identity: RequestIdentity): string {
	const {method, path, customer, key, idempotencyKey, body} = identity;
	const text = JSON.stringify([method, path, customer, key, idempotencyKey]);
	return `${hash64(text).toString(radix)}-${hashBytes(body).toString(radix)}`;
}
