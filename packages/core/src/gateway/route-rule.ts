/** The operators' routes and services of one version of the configuration. */
import {type Millis} from '../time/clock.js';

/** What may be sent again: safe requests only, and unsafe ones that provably did not run. */
export type Repeatability = 'safe' | 'unsafe';

/** One of the services that share a route's requests. */
export type Part = {
	readonly service: string;
	readonly weight: number;
};

export type RouteRule = {
	readonly route: string;
	/** Lower case, without a port. */
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly repeatability: Repeatability;
	/** How long a caller may be kept waiting. */
	readonly timeoutMs: Millis;
	/** Within which an answer is worth most to the caller. */
	readonly targetMs: Millis;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Backend servers to which one request may be sent. */
	readonly maxAttempts: number;
	/** At least one; weights sum to more than 0. */
	readonly parts: readonly Part[];
};

export type RoutedService = {
	readonly service: string;
	readonly healthPath: string;
	/** Connections that one of its servers takes from all daemons together. */
	readonly connections: number;
	/** Requests a second that a cold server bears from all daemons together. */
	readonly coldRate: number;
	/** How long a server is cold after a start. */
	readonly coldMs: Millis;
	/** Whether each request belongs to the one server that holds its key. */
	readonly keyed: boolean;
};

/** What a caller's connection and request may take. */
export type CallerLimits = {
	readonly headerLen: number;
	readonly bodyLen: number;
	/** Until a request's header is complete. */
	readonly headerMs: Millis;
	readonly idleMs: Millis;
};

/** One version of the configuration. */
export type RoutingConfig = {
	readonly version: number;
	readonly rules: readonly RouteRule[];
	readonly services: readonly RoutedService[];
	readonly limits: CallerLimits;
};
