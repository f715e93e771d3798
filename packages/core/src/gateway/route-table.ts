/** Finds the route of a request: of its host's routes, the one with the longest prefix of its path. */
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

	/** The rule for a request, by its `host` header field and its path with or without a query. */
	rule(host: string, path: string): RouteRule | undefined {
		const name = host.replace(/:\d+$/, '').toLowerCase();
		const end = path.search(/[?#]/);
		const bare = end === -1 ? path : path.slice(0, end);
		return this.#hosts
			.get(name)
			?.find(({pathPrefix}) => bare.startsWith(pathPrefix));
	}

	service(name: string): RoutedService | undefined {
		return this.#services.get(name);
	}
}

/** The service for one request of a rule, drawn by the weights of the rule's parts. */
export function drawService({parts}: RouteRule, random: Random): string {
	let rest =
		random.fraction() * parts.reduce((sum, {weight}) => sum + weight, 0);
	for (const {service, weight} of parts) {
		rest -= weight;
		if (rest < 0) {
			return service;
		}
	}

	return parts.at(-1)!.service;
}
