/** A backend server as it has registered itself with the platform. */
import {type Millis} from '../time/clock.js';

export type ListedServer = {
	/** New with most starts, but a server may start again under its former id. */
	readonly backendServer: string;
	/** The wall clock's reading at its start, in ms since the Unix epoch; tells runs under one id apart. */
	readonly startedAt: number;
	readonly service: string;
	/** Host and port. */
	readonly address: string;
	readonly failureDomain: string;
	/** Requests that it runs at once. */
	readonly slots: number;
	readonly draining: boolean;
	/** How long it was going to stay cold when it reported. */
	readonly coldMs: Millis;
};

/** Servers that may be given work, by service: none that leaves or whose failure domain is out of service. */
export function serversInService(
	servers: readonly ListedServer[],
	domainsOut: ReadonlySet<string>,
): ReadonlyMap<string, readonly ListedServer[]> {
	const found = new Map<string, ListedServer[]>();
	for (const server of servers) {
		const {service, draining, failureDomain} = server;
		if (!draining && !domainsOut.has(failureDomain)) {
			const others = found.get(service) ?? [];
			found.set(service, [...others, server]);
		}
	}

	return found;
}
