/**
 * Identifies the customer that a request belongs to, by the API key in its header field
 * `Authorization: Bearer KEY`. Where the configuration has no customers, nobody needs a
 * key. Guards against requests without a valid key, and with several of which another
 * party on the way may have used another one.
 */
import {type Customer, type RouteRule} from './route-rule.js';
import {type RouteTable} from './route-table.js';

export type CallerIdentity =
	/** The configuration has no customers. */
	| {readonly kind: 'open'}
	/** The route needs no key. */
	| {readonly kind: 'public'}
	| {readonly kind: 'customer'; readonly customer: Customer}
	| {readonly kind: 'unidentified'; readonly cause: KeyFault};

export type KeyFault = 'missing' | 'malformed' | 'unknown';

/** The scheme in any case, and the key without blanks (RFC 9110, 11.4). */
const bearer = /^bearer +(\S+) *$/i;

/** `authorization` holds the values of all fields of that name in the request. */
export function identifyCaller(
	routes: RouteTable,
	rule: RouteRule,
	authorization: readonly string[],
): CallerIdentity {
	if (!routes.config.customers) {
		return {kind: 'open'};
	}

	if (rule.isPublic) {
		return {kind: 'public'};
	}

	if (authorization.length === 0) {
		return {kind: 'unidentified', cause: 'missing'};
	}

	const [, key] = bearer.exec(authorization[0]) ?? [];
	if (authorization.length > 1 || key === undefined) {
		return {kind: 'unidentified', cause: 'malformed'};
	}

	const customer = routes.customer(key);
	return customer
		? {kind: 'customer', customer}
		: {kind: 'unidentified', cause: 'unknown'};
}
