/** A backend server's entry in the platform, written by the server itself. */
import {type Millis} from '../time/clock.js';

export type ListedServer = {
	/** Usually new with each start, but a server may restart under its previous id. */
	readonly backendServer: string;
	/** Wall-clock time of its start, in ms since the Unix epoch; distinguishes runs under one id. */
	readonly startedAt: number;
	readonly service: string;
	/** Host and port. */
	readonly address: string;
	readonly failureDomain: string;
	/** How many requests it runs at the same time. */
	readonly slots: number;
	readonly draining: boolean;
	/** How much longer it expected to be cold when it wrote the entry. */
	readonly coldMs: Millis;
};

/** The servers of each service, including leaving ones, without those in a failure domain out of service. */
export function serversByService(
	servers: readonly ListedServer[],
	domainsOut: ReadonlySet<string>,
): ReadonlyMap<string, readonly ListedServer[]> {
	const byService = new Map<string, ListedServer[]>();
	for (const server of servers) {
		const {service, failureDomain} = server;
		if (!domainsOut.has(failureDomain)) {
			const others = byService.get(service) ?? [];
			others.push(server);
			byService.set(service, others);
		}
	}

	return byService;
}
