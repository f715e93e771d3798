/** The routes and services that the operators configure, in one version of the configuration. */
import {type Millis} from '../time/clock.js';

/** What may be sent again: safe requests only, and unsafe ones that provably did not run. */
export type Repeatability = 'safe' | 'unsafe';

/** One of the services that share a route's requests. */
export type RoutePart = {
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
	/** How long a caller may have to wait for an answer. */
	readonly timeoutMs: Millis;
	/** Answers within this time are worth most to the caller. */
	readonly targetMs: Millis;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Most backend servers to which one request may be sent. */
	readonly maxAttempts: number;
	/** Whether callers need no API key. Matters only where the configuration has customers. */
	readonly isPublic?: boolean;
	/** Weights sum to more than 0; empty if the configuration names no readable service. */
	readonly parts: readonly RoutePart[];
};

export type RoutedService = {
	readonly service: string;
	readonly healthPath: string;
	/** Most connections that one of its servers accepts from all daemons together. */
	readonly connections: number;
	/** Most requests a second that a cold server can take from all daemons together. */
	readonly coldRate: number;
	/** How long a server is cold after a start. */
	readonly coldMs: Millis;
	/** Whether each request must go to the one server that owns its key. */
	readonly keyed: boolean;
};

/** A customer, the API keys of its callers and its quota over all daemons. */
export type Customer = {
	readonly name: string;
	/** No other customer has any of them. */
	readonly keys: readonly string[];
	/** Requests a second; infinite without a quota. */
	readonly rate: number;
	/** Requests beyond the rate. */
	readonly burst: number;
	/** Precedes the priority of the route; undefined if the customer has none of its own. */
	readonly priority: number | undefined;
};

/** Limits on a caller's connection and request. */
export type CallerLimits = {
	readonly headerLen: number;
	readonly bodyLen: number;
	/** Time allowed until a request's header is complete. */
	readonly headerMs: Millis;
	readonly idleMs: Millis;
};

/** One version of the configuration. */
export type RoutingConfig = {
	readonly version: number;
	readonly rules: readonly RouteRule[];
	readonly services: readonly RoutedService[];
	readonly limits: CallerLimits;
	/** Undefined if the configuration has no list of customers: callers then need no API key. */
	readonly customers?: readonly Customer[];
};
