/**
 * Leases on keys that this daemon has given to backend servers, by run: when each is
 * over at the latest, and how keys are got back before.
 */
import {
	isHeldBy,
	type Clock,
	type KeyRange,
	type ListedServer,
	type Millis,
} from '@kingcuproute/core';
import {type KeyOrders} from '@kingcuproute/platform';
import {type Log} from '../log/log.js';
import {type KeeperLease} from './keeper-lease.js';

/** Outlasts a change of keeper: its lease, the margin and the first renewal. */
const keyLeaseMs: Millis = 5500;
const renewMs: Millis = 1300;
const orderTimeoutMs: Millis = 800;
/** Longer than the longest work that a release may have to wait for. */
const releaseTimeoutMs: Millis = 3000;
/** A server's clock may run slow by this. */
const slowClock = 1.02;
/** From the sending of a grant until no lease by it can run. */
const longestLeaseMs: Millis = keyLeaseMs * slowClock + orderTimeoutMs;
const lapseCheckMs: Millis = 100;

export type KeyGrantsMeans = {
	readonly service: string;
	readonly lease: KeeperLease;
	readonly orders: KeyOrders;
	readonly clock: Clock;
	readonly log: Log;
	/** All servers of the service, those that leave included. */
	readonly listed: () => readonly ListedServer[];
};

/** What this daemon knows of the leases of one run of a server. */
type Run = {
	/** When no lease given to it can last any more. */
	leaseOverAt: Millis;
	renewedAt: Millis;
	/** Nothing runs any more where it did. */
	ended: boolean;
	/** Until when a grant without an answer may still be taken. */
	unsureUntil: Millis;
	/** Grants that are not answered yet. */
	readonly inFlight: Set<Promise<void>>;
};

export class KeyGrants {
	/** By server and start. */
	readonly #runs = new Map<string, Run>();

	constructor(private readonly means: KeyGrantsMeans) {}

	/** Grants under way, and servers at which one without an answer may still be carried out. */
	get open(): {readonly underWay: number; readonly unsureServers: number} {
		const now = this.means.clock.now();
		const runs = [...this.#runs.values()];
		let underWay = 0;
		for (const {inFlight} of runs) {
			underWay += inFlight.size;
		}

		const unsure = runs.filter(({unsureUntil}) => unsureUntil > now);
		return {underWay, unsureServers: unsure.length};
	}

	/** Takes the holders of `ranges` to have been granted them just now, by another daemon. */
	assumeGranted(ranges: readonly KeyRange[]): void {
		const until = this.means.clock.now() + longestLeaseMs;
		for (const {owner, ownerStartedAt} of ranges) {
			this.#run(owner, ownerStartedAt).leaseOverAt = until;
		}
	}

	/** Renews what a server holds, when that is due. */
	renew(server: ListedServer, ranges: readonly KeyRange[]): void {
		const now = this.means.clock.now();
		const run = this.#run(server.backendServer, server.startedAt);
		if (ranges.length > 0 && !run.ended && now - run.renewedAt >= renewMs) {
			run.renewedAt = now;
			for (const range of ranges) {
				this.give(server, range);
			}
		}
	}

	/** Grants the range; `handover` is from its former holder, where that gave one. */
	give(server: ListedServer, range: KeyRange, handover?: string): void {
		const {inFlight} = this.#run(server.backendServer, server.startedAt);
		const grant = this.#grant(server, range, handover);
		inFlight.add(grant);
		const forget = async () => {
			await grant;
			inFlight.delete(grant);
		};

		void forget();
	}

	/**
	 * Resolves once `holder` holds the keys `from` to `to` no more, or this daemon's own
	 * lease is lost, with what the holder hands over, where it does.
	 */
	async takeBack(
		holder: KeyRange,
		from: number,
		to: number,
	): Promise<string | undefined> {
		const {clock, lease, log, service} = this.means;
		const {owner: backendServer, fence} = holder;
		const run = this.#run(holder.owner, holder.ownerStartedAt);
		const beganAt = clock.now();
		// These keys are not renewed any more; the server's other keys go on.
		const overAt = run.leaseOverAt;
		const released = await this.#release(holder, from, to, run);
		if (!released) {
			await this.#lapse(run, overAt);
		}

		let by = lease.isHeld ? 'lapsed' : 'lease-lost';
		if (released) {
			by = 'released';
		} else if (run.ended) {
			by = 'ended';
		}

		const now = clock.now();
		const waitedMs = Math.round(now - beganAt);
		const leaseLeftMs = Math.round(overAt - now);
		// How long a grant without an answer could still be carried out.
		const unsureMs = Math.max(0, Math.round(run.unsureUntil - now));
		const keys = {service, backendServer, from, to, fence};
		log.info('keys-free', {...keys, by, waitedMs, leaseLeftMs, unsureMs});
		return released?.handover;
	}

	async #lapse(run: Run, overAt: Millis): Promise<void> {
		const {clock, lease} = this.means;
		for (;;) {
			const leftMs = overAt - clock.now();
			if (run.ended || leftMs <= 0 || !lease.isHeld) {
				return;
			}

			await clock.sleep(Math.min(leftMs, lapseCheckMs));
		}
	}

	async #grant(
		server: ListedServer,
		{from, to, fence}: KeyRange,
		handover?: string,
	): Promise<void> {
		const {clock, orders, log, lease, service} = this.means;
		if (!lease.isHeld) {
			return;
		}

		const {backendServer, startedAt} = server;
		const run = this.#run(backendServer, startedAt);
		run.leaseOverAt = clock.now() + longestLeaseMs;
		const order = {
			from,
			to,
			fence,
			leaseMs: keyLeaseMs,
			...(handover !== undefined && {handover}),
		};
		const end = await orders.grant(server, order, orderTimeoutMs);
		if (end.kind === 'taken') {
			return;
		}

		const keys = {service, backendServer, from, to, fence};
		const message = end.kind === 'unknown' ? end.message : undefined;
		log.warn('grant-failed', {...keys, end: end.kind, message});
		if (end.kind === 'unknown') {
			run.unsureUntil = clock.now() + longestLeaseMs;
		} else if (end.kind === 'ended') {
			run.ended = true;
		}
	}

	/** Undefined where the holder may still hold the keys. */
	async #release(
		holder: KeyRange,
		from: number,
		to: number,
		run: Run,
	): Promise<{readonly handover: string | undefined} | undefined> {
		const {clock, orders, listed, log, service} = this.means;
		const {owner: backendServer, fence} = holder;
		const keys = {service, backendServer, from, to, fence};
		const server = listed().find((one) => isHeldBy(holder, one));
		if (!server) {
			log.info('holder-gone', keys);
			return undefined;
		}

		// A grant still on its way must not be taken after the release.
		await Promise.all(run.inFlight);
		const order = {from, to, fence};
		const end = await orders.release(server, order, releaseTimeoutMs);
		const message = end.kind === 'unknown' ? end.message : undefined;
		log.info('keys-released', {...keys, end: end.kind, message});
		run.ended ||= end.kind === 'ended';
		return end.kind === 'taken' && clock.now() >= run.unsureUntil
			? {handover: end.handover}
			: undefined;
	}

	#run(server: string, startedAt: number): Run {
		const name = `${server}\n${startedAt}`;
		let run = this.#runs.get(name);
		if (!run) {
			run = {
				leaseOverAt: -Infinity,
				renewedAt: -Infinity,
				ended: false,
				unsureUntil: -Infinity,
				inFlight: new Set(),
			};
			this.#runs.set(name, run);
		}

		return run;
	}
}
