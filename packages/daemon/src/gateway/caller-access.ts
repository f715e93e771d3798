/** Checks a caller's API key, and determines what backend servers are told of its customer. */
import {type IncomingMessage} from 'node:http';
import {Buffer} from 'node:buffer';
import {
	identifyCaller,
	type Customer,
	type KeyFault,
	type Millis,
	type RouteRule,
	type RouteTable,
} from '@kingcuproute/core';
import {requestFields} from '@kingcuproute/platform';
import {Left, Right, type Either} from 'purify-ts';
import {type ExchangeContext} from './exchange-context.js';
import {type RequestEnd} from './request-end.js';

/** Whether the configuration has customers, and the one whose request it is, if any. */
export type CallerAccess = {
	readonly hasCustomers: boolean;
	readonly customer: Customer | undefined;
	/** The customer's, or else the route's; 0 is the most urgent. */
	readonly priority: number;
};

/** Header fields that callers may not set for backend servers where the configuration has customers. */
const concealedFields: ReadonlySet<string> = new Set([
	requestFields.authorization,
	requestFields.customer,
]);

/** How soon a caller should try again whose key this daemon can't vouch for; other daemons may. */
const keysRetryMs: Millis = 500;

/** Who the caller is, or why its request is refused. */
export function accessOf(
	{view, metrics}: ExchangeContext,
	routes: RouteTable,
	rule: RouteRule,
	req: IncomingMessage,
): Either<RequestEnd, CallerAccess> {
	const identity = identifyCaller(
		routes,
		rule,
		valuesOf(req.rawHeaders, requestFields.authorization),
	);
	switch (identity.kind) {
		case 'open':
		case 'public': {
			const hasCustomers = identity.kind === 'public';
			const {priority} = rule;
			return Right({hasCustomers, customer: undefined, priority});
		}

		case 'customer': {
			const {customer} = identity;
			const priority = customer.priority ?? rule.priority;
			return view.mayKeysBeOutdated
				? Left({
						reason: 'keys-outdated',
						notRun: true,
						retryAfterMs: keysRetryMs,
					})
				: Right({hasCustomers: true, customer, priority});
		}

		case 'unidentified': {
			metrics.keyRefused(identity.cause);
			return Left(unauthorized(identity.cause));
		}
	}
}

/** The header of a request for a backend server: the customer's name in place of its key. */
export function forwardedFields(
	{hasCustomers, customer}: CallerAccess,
	fields: readonly string[],
): readonly string[] {
	if (!hasCustomers) {
		return fields;
	}

	const kept = fields.flatMap((text, index) =>
		index % 2 === 0 && !concealedFields.has(text.toLowerCase())
			? [text, fields[index + 1]]
			: [],
	);
	return customer
		? [...kept, requestFields.customer, fieldText(customer.name)]
		: kept;
}

function unauthorized(cause: KeyFault): RequestEnd {
	return {reason: 'unauthorized', notRun: true, cause};
}

/** The text as a header field carries it: its bytes in UTF-8, each written as one character. */
function fieldText(text: string): string {
	return Buffer.from(text, 'utf8').toString('latin1');
}

function valuesOf(raw: readonly string[], name: string): readonly string[] {
	return raw.filter(
		(_, index) => index % 2 === 1 && raw[index - 1].toLowerCase() === name,
	);
}
