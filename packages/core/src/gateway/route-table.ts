/** Finds the route of a request, among the routes of its host the one with the longest matching path prefix, and the customer with an API key. */
import {type Random} from '../chance/random.js';
import {
	type Customer,
	type RoutedService,
	type RouteRule,
	type RoutingConfig,
} from './route-rule.js';

export class RouteTable {
	readonly #hosts = new Map<string, RouteRule[]>();
	readonly #services: ReadonlyMap<string, RoutedService>;
	readonly #customers: ReadonlyMap<string, Customer>;

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
		this.#customers = new Map(
			(config.customers ?? []).flatMap((customer) =>
				customer.keys.map((key) => [key, customer] as const),
			),
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

	/** The customer with this API key. */
	customer(key: string): Customer | undefined {
		return this.#customers.get(key);
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
