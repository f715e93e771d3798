/** Finds the route of a request and checks what can be checked before its body is read. */
import {type IncomingMessage} from 'node:http';
import {
	drawService,
	headerFault,
	type Millis,
	type RoutedService,
	type RouteRule,
} from '@kingcuproute/core';
import {requestFields} from '@kingcuproute/platform';
import {Left, Right, type Either} from 'purify-ts';
import {accessOf, type CallerAccess} from './caller-access.js';
import {type ExchangeContext} from './exchange-context.js';
import {type RequestEnd} from './request-end.js';

/** Time allowed for a request whose caller sets none. */
const defaultAllowedMs: Millis = 5000;
const configRetryMs: Millis = 500;

export type FoundRoute = {
	readonly rule: RouteRule;
	readonly service: RoutedService;
	readonly access: CallerAccess;
	/** How long the caller allows for the answer. */
	readonly allowedMs: Millis;
	readonly maxBodyLen: number;
	/** Version of the configuration that routed the request. */
	readonly version: number;
};

/** The route of the request with this id, or why it is refused. */
export function findRoute(
	context: ExchangeContext,
	req: IncomingMessage,
	id: string,
): Either<RequestEnd, FoundRoute> {
	const {view, random} = context;
	const {routes, servers} = view.view.value;
	if (!routes || !servers || !view.isComplete) {
		return refused('no-config', configRetryMs);
	}

	const {rawHeaders, httpVersion, headers, url = '/'} = req;
	if (headerFault(rawHeaders, httpVersion) !== undefined || id === '') {
		return refused('bad-request');
	}

	const rule = routes.rule(headers.host ?? '', url);
	if (!rule) {
		return refused('no-route');
	}

	return accessOf(context, routes, rule, req).chain(
		(access): Either<RequestEnd, FoundRoute> => {
			const service = routes.service(drawService(rule, random) ?? '');
			if (!service) {
				return refused('no-service', configRetryMs);
			}

			const {limits, version} = routes.config;
			const maxBodyLen = limits.bodyLen;
			if (Number(headers['content-length'] ?? 0) > maxBodyLen) {
				return refused('too-large');
			}

			const allowedMs = Number(allowedOf(req) ?? defaultAllowedMs);
			return allowedMs > 0
				? Right({rule, service, access, allowedMs, maxBodyLen, version})
				: refused('bad-request');
		},
	);
}

function allowedOf({headers}: IncomingMessage): string | undefined {
	const value = headers[requestFields.allowedMs];
	return typeof value === 'string' ? value : undefined;
}

function refused(
	reason: RequestEnd['reason'],
	retryAfterMs?: Millis,
): Either<RequestEnd, never> {
	return Left({
		reason,
		notRun: true,
		...(retryAfterMs !== undefined && {retryAfterMs}),
	});
}
