/** Finds the route of a request: among the routes of its host, the one with the longest matching path prefix. */
import {type Random} from '../chance/random.js';
import {
	type RoutedService,
	type RouteRule,
	type RoutingConfig,
} from './route-rule.js';

export class RouteTable {
	readonly #hosts = new Map<string, RouteRule[]>();
	readonly #services: ReadonlyMap<string, RoutedService>;

	constructor(readonly config: RoutingConfig) {
		for (const rule of config.rules) {
			const rules = this.#hosts.get(rule.host) ?? [];
			this.#hosts.set(rule.host, [...rules, rule]);
		}

		for (const rules of this.#hosts.values()) {
			rules.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
		}

		this.#services = new Map(
			config.services.map((service) => [service.service, service]),
		);
	}

	/** The rule for a request with this `host` header field and this path, which may have a query. */
	rule(host: string, path: string): RouteRule | undefined {
		const hostname = host.replace(/:\d+$/, '').toLowerCase();
		const pathEnd = path.search(/[?#]/);
		const pathname = pathEnd === -1 ? path : path.slice(0, pathEnd);
		return this.#hosts
			.get(hostname)
			?.find(({pathPrefix}) => pathname.startsWith(pathPrefix));
	}

	service(name: string): RoutedService | undefined {
		return this.#services.get(name);
	}
}

/** Picks the service for one request at random, by the weights of the rule's parts; undefined if there are none. */
export function drawService(
	{parts}: RouteRule,
	random: Random,
): string | undefined {
	let remaining =
		random.fraction() * parts.reduce((sum, {weight}) => sum + weight, 0);
	for (const {service, weight} of parts) {
		remaining -= weight;
		if (remaining < 0) {
			return service;
		}
	}

	return parts.at(-1)?.service;
}
