/** A caller's request once its route is known, and whether it may be sent once more. */
import {
	ranAfter,
	type AttemptEnd,
	type Millis,
	type RoutedService,
	type RouteRule,
} from '@kingcuproute/core';
import {type RequestBody} from '../requests/request-body.js';
import {type CallerAccess} from './caller-access.js';
import {type ExchangeContext} from './exchange-context.js';

/** With less time left no attempt is made: connecting and running take longer. */
export const minAttemptMs: Millis = 20;

export type RoutedRequest = {
	readonly id: string;
	readonly rule: RouteRule;
	readonly service: RoutedService;
	readonly access: CallerAccess;
	/** The customer's, or else the route's; 0 is the most urgent. */
	readonly priority: number;
	/** Set for services divided by key. */
	readonly key: number | undefined;
	readonly body: RequestBody;
	/** The length that the caller stated, or else what has been read. */
	readonly bodyLen: number;
	readonly arrivedAt: Millis;
	/** How long the caller allows for the answer. */
	readonly allowedMs: Millis;
	/** By when the caller needs its answer. */
	readonly until: Millis;
	/** Version of the configuration that routed the request. */
	readonly version: number;
};

/** Whether the request may be sent once more, to `next`. The same server may get it again if it holds the key. */
export function mayRetry(
	{budgets, clock}: Pick<ExchangeContext, 'budgets' | 'clock'>,
	{rule, service, until, body}: RoutedRequest,
	next: string,
	tried: readonly string[],
): boolean {
	const servers = new Set([...tried, next]).size;
	return (
		servers <= rule.maxAttempts &&
		budgets.of(service.service).hasRetry &&
		until - clock.now() > minAttemptMs &&
		body.replayable
	);
}

/** Whether the request may be sent once more after an attempt that ended with `end`. */
export function mayRepeat(
	context: Pick<ExchangeContext, 'budgets' | 'clock'>,
	request: RoutedRequest,
	end: AttemptEnd,
	tried: readonly string[],
): boolean {
	const isAllowed =
		request.rule.repeatability === 'safe' || ranAfter(end) === 'not-run';
	const last = tried.at(-1);
	return (
		isAllowed && last !== undefined && mayRetry(context, request, last, tried)
	);
}
