/**
 * The backend servers in service, arranged so that choosing one for a request costs the
 * same however many there are. Addresses the load of large services, where listing and
 * weighing all servers for each request took a fifth of a daemon's processor time: a
 * request is weighed against a bounded random sample, and the owner of a key is found by
 * its id. An update only changes what differs from the list before.
 */
import {type Random} from '../chance/random.js';
import {isHeldBy, type KeyRange} from './key-range.js';
import {type ListedServer} from './listed-server.js';
import {type ServerRun} from './server-run.js';

/** Of the sample of a daemon that prefers its own domain, the share from that domain; the others show how busy theirs are. */
const ownSampleShare = 0.625;

export type ServerSample = {
	readonly servers: readonly ListedServer[];
	/** Whether these are all servers of the service. */
	readonly isWhole: boolean;
};

/** A set of servers from which random ones can be drawn. */
class ServerGroup {
	readonly #servers: ListedServer[] = [];
	readonly #positions = new Map<string, number>();

	get size(): number {
		return this.#servers.length;
	}

	add(server: ListedServer): void {
		this.#positions.set(server.backendServer, this.#servers.length);
		this.#servers.push(server);
	}

	delete({backendServer}: ListedServer): void {
		const position = this.#positions.get(backendServer);
		const last = this.#servers.at(-1);
		if (position === undefined || !last) {
			return;
		}

		this.#servers[position] = last;
		this.#positions.set(last.backendServer, position);
		this.#servers.pop();
		this.#positions.delete(backendServer);
	}

	/** Appends `count` different servers to `sample`, or all if there are no more; each is as likely as the others (Floyd's algorithm). */
	draw(count: number, random: Random, sample: ListedServer[]): void {
		const servers = this.#servers;
		if (servers.length <= count) {
			sample.push(...servers);
			return;
		}

		const drawn = new Set<number>();
		for (let end = servers.length - count; end < servers.length; end++) {
			const position = random.below(end + 1);
			const isNew = !drawn.has(position);
			drawn.add(isNew ? position : end);
			sample.push(servers[isNew ? position : end]);
		}
	}
}

/** The servers of one service. */
class ServiceServers {
	readonly own = new ServerGroup();
	readonly other = new ServerGroup();
	/** Servers whose entries say that they are leaving: they get requests only while no other server can take them. */
	readonly draining = new ServerGroup();

	get size(): number {
		return this.own.size + this.other.size + this.draining.size;
	}
}

export class ServerIndex {
	readonly #services = new Map<string, ServiceServers>();
	readonly #byId = new Map<string, ListedServer>();

	/** `ownDomain` is the failure domain of this daemon. */
	constructor(private readonly ownDomain: string) {}

	/** Takes over the list of servers, of which those in `domainsOut` are not in service. */
	update(
		servers: readonly ListedServer[],
		domainsOut: ReadonlySet<string>,
	): void {
		let inService = 0;
		for (const server of servers) {
			if (!domainsOut.has(server.failureDomain)) {
				inService++;
				this.#put(server);
			}
		}

		if (inService !== this.#byId.size) {
			this.#keep(servers, domainsOut);
		}
	}

	/** Whether this run of the server is in service. */
	has({backendServer, startedAt}: ServerRun): boolean {
		return this.#byId.get(backendServer)?.startedAt === startedAt;
	}

	/** The server that holds `range` of the service's keys, if it is in service. */
	owner(service: string, range: KeyRange): ListedServer | undefined {
		const server = this.#byId.get(range.owner);
		return server?.service === service && isHeldBy(range, server)
			? server
			: undefined;
	}

	/**
	 * Random servers of the service, at most `size`. Draining ones are among them only if
	 * the others do not fill the sample. With `prefersOwn`, more than half of the sample is
	 * from the daemon's own domain, as far as that has as many.
	 */
	sample(
		service: string,
		size: number,
		prefersOwn: boolean,
		random: Random,
	): ServerSample {
		const groups = this.#services.get(service);
		const servers: ListedServer[] = [];
		if (!groups) {
			return {servers, isWhole: true};
		}

		const {own, other, draining} = groups;
		const share = prefersOwn
			? ownSampleShare
			: own.size / Math.max(1, own.size + other.size);
		const ownCount = Math.max(size - other.size, Math.round(size * share));
		own.draw(ownCount, random, servers);
		other.draw(size - servers.length, random, servers);
		draining.draw(size - servers.length, random, servers);
		return {servers, isWhole: groups.size <= size};
	}

	#put(server: ListedServer): void {
		const {backendServer, service} = server;
		const known = this.#byId.get(backendServer);
		if (known === server) {
			return;
		}

		if (known) {
			this.#group(known).delete(known);
		}

		if (!this.#services.has(service)) {
			this.#services.set(service, new ServiceServers());
		}

		this.#byId.set(backendServer, server);
		this.#group(server).add(server);
	}

	#keep(
		servers: readonly ListedServer[],
		domainsOut: ReadonlySet<string>,
	): void {
		const kept = new Set(servers);
		for (const [id, server] of this.#byId) {
			if (!kept.has(server) || domainsOut.has(server.failureDomain)) {
				this.#group(server).delete(server);
				this.#byId.delete(id);
			}
		}
	}

	#group({service, failureDomain, draining}: ListedServer): ServerGroup {
		const groups = this.#services.get(service)!;
		if (draining) {
			return groups.draining;
		}

		return failureDomain === this.ownDomain ? groups.own : groups.other;
	}
}
