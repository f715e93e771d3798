/**
 * The leases on keys that this daemon has granted to backend servers, by run of the
 * server. Tracks when each lease has expired at the latest, and reclaims keys earlier
 * by a release.
 */
import {
	GrantLedger,
	isHeldBy,
	ownerKeyOf,
	runKeyOf,
	type Clock,
	type KeyRange,
	type ListedServer,
	type Millis,
	type SentGrant,
} from '@kingcuproute/core';
import {type KeyOrders, type OrderOutcome} from '@kingcuproute/platform';
import {type Log} from '../log/log.js';
import {type KeeperLease} from './keeper-lease.js';

/** Long enough to outlast a change of keeper: the lease of the former keeper, the margin and the first renewal. */
const keyLeaseMs: Millis = 5500;
const renewMs: Millis = 1300;
const orderTimeoutMs: Millis = 800;
/** Longer than the longest request that a server may have to finish before it releases its keys. */
const releaseTimeoutMs: Millis = 3000;
/** How much slower the clock of a server may run. */
const slowClockFactor = 1.02;
/** From the sending of a grant until every lease that it may start has expired. */
export const maxLeaseMs: Millis = keyLeaseMs * slowClockFactor + orderTimeoutMs;
const expiryCheckMs: Millis = 100;

export type KeyGrantsContext = {
	readonly service: string;
	readonly lease: KeeperLease;
	readonly orders: KeyOrders;
	readonly clock: Clock;
	readonly log: Log;
	/** All servers of the service, including those that are leaving. */
	readonly listed: () => readonly ListedServer[];
	/** Called with each server that announces in an answer that it is leaving. */
	readonly onLeaving: (server: ListedServer) => void;
};

/** The leases of one run of a server, as far as this daemon knows. */
type RunLeases = {
	/** The newest entry of the run, which may have been removed since. */
	listed: ListedServer | undefined;
	ledger: GrantLedger;
	renewedAt: Millis;
	/** Whether the run is known to be over. */
	ended: boolean;
	/** Grants that have not been answered yet. */
	readonly inFlight: Set<Promise<void>>;
};

export class KeyGrants {
	/** By run of the server. */
	readonly #runs = new Map<string, RunLeases>();

	constructor(private readonly context: KeyGrantsContext) {}

	/** Grants in flight, and grants that a server may still carry out. */
	get pendingCounts(): {
		readonly underWay: number;
		readonly unanswered: number;
	} {
		const now = this.context.clock.now();
		let underWay = 0;
		let unanswered = 0;
		for (const {inFlight, ledger} of this.#runs.values()) {
			underWay += inFlight.size;
			unanswered += ledger.unansweredCount(now);
		}

		return {underWay, unanswered};
	}

	/** Records that another daemon may have sent grants for `ranges` to their holders until `sentUntil`. */
	assumeSent(ranges: readonly KeyRange[], sentUntil: Millis): void {
		const now = this.context.clock.now();
		for (const range of ranges) {
			const {from, to, fence} = range;
			const run = this.#leasesOf(ownerKeyOf(range));
			const overAt = sentUntil + maxLeaseMs;
			const grant = {from, to, fence, overAt, isTaken: false};
			run.ledger = run.ledger.with(grant, now);
		}
	}

	/** Whether this run of the server is known to be over. */
	hasEnded(server: ListedServer): boolean {
		return this.#leasesOf(runKeyOf(server)).ended;
	}

	/** Whether the holder's keys from `from` to `to` are free as soon as it has released them. */
	isReleaseFinal(holder: KeyRange, from: number, to: number): boolean {
		const {ledger} = this.#leasesOf(ownerKeyOf(holder));
		return ledger.isReleaseFinal(from, to, this.context.clock.now());
	}

	/** Renews the leases on a server's `ranges` if a renewal is due. */
	renew(server: ListedServer, ranges: readonly KeyRange[]): void {
		const now = this.context.clock.now();
		const run = this.#leasesOf(runKeyOf(server));
		run.listed = server;
		if (ranges.length > 0 && !run.ended && now - run.renewedAt >= renewMs) {
			run.renewedAt = now;
			for (const range of ranges) {
				this.grant(server, range);
			}
		}
	}

	/** Grants the range to `server`. `handover` is what its former holder handed over, if anything. */
	grant(server: ListedServer, range: KeyRange, handover?: string): void {
		const {inFlight} = this.#leasesOf(runKeyOf(server));
		const grant = this.#sendGrant(server, range, handover);
		inFlight.add(grant);
		const forget = async () => {
			await grant;
			inFlight.delete(grant);
		};

		void forget();
	}

	/**
	 * Resolves once `holder` no longer holds the keys from `from` to `to`, or this daemon
	 * has lost its own lease. Returns what the holder hands over, if anything.
	 */
	async reclaim(
		holder: KeyRange,
		from: number,
		to: number,
	): Promise<string | undefined> {
		const {clock, lease, log, service} = this.context;
		const {owner: backendServer, fence} = holder;
		const run = this.#leasesOf(ownerKeyOf(holder));
		const beganAt = clock.now();
		// A grant that is still in flight must not be accepted after the release.
		await Promise.all(run.inFlight);
		// From here on these keys are not renewed; the server's other keys are.
		const overAt = run.ledger.overAt(from, to);
		const released = await this.#sendRelease(holder, from, to, run);
		if (!released) {
			await this.#untilExpired(run, overAt);
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
		const unanswered = run.ledger.unansweredCount(now);
		const keys = {service, backendServer, from, to, fence};
		log.info('keys-free', {...keys, by, waitedMs, leaseLeftMs, unanswered});
		return released?.handover;
	}

	async #untilExpired(run: RunLeases, overAt: Millis): Promise<void> {
		const {clock, lease} = this.context;
		for (;;) {
			const leftMs = overAt - clock.now();
			if (run.ended || leftMs <= 0 || !lease.isHeld) {
				return;
			}

			await clock.sleep(Math.min(leftMs, expiryCheckMs));
		}
	}

	async #sendGrant(
		server: ListedServer,
		{from, to, fence}: KeyRange,
		handover?: string,
	): Promise<void> {
		const {clock, orders, log, lease, service} = this.context;
		if (!lease.isHeld) {
			return;
		}

		const {backendServer} = server;
		const run = this.#leasesOf(runKeyOf(server));
		const now = clock.now();
		const overAt = now + maxLeaseMs;
		const sent: SentGrant = {from, to, fence, overAt, isTaken: false};
		run.ledger = run.ledger.with(sent, now);
		const order = {
			from,
			to,
			fence,
			leaseMs: keyLeaseMs,
			...(handover !== undefined && {handover}),
		};
		const end = await orders.grant(server, order, orderTimeoutMs);
		run.ledger = afterGrant(run.ledger, sent, end, clock.now());
		run.ended ||= end.kind === 'ended';
		this.#noteLeaving(server, end);
		if (end.kind !== 'taken') {
			const keys = {service, backendServer, from, to, fence};
			const message = end.kind === 'unknown' ? end.message : undefined;
			log.warn('grant-failed', {...keys, end: end.kind, message});
		}
	}

	/** Asks the holder to release the keys; undefined if it may still hold them. */
	async #sendRelease(
		holder: KeyRange,
		from: number,
		to: number,
		run: RunLeases,
	): Promise<{readonly handover: string | undefined} | undefined> {
		const {clock, orders, listed, log, lease, service} = this.context;
		const {owner: backendServer, fence} = holder;
		const keys = {service, backendServer, from, to, fence};
		// A server whose entry has lapsed, or that leaves without a report, may still answer.
		const server =
			listed().find((listedServer) => isHeldBy(holder, listedServer)) ??
			run.listed;
		if (!server) {
			log.info('holder-gone', keys);
			return undefined;
		}

		// A server obeys every release, even one from a former keeper.
		if (!lease.isHeld) {
			return undefined;
		}

		const order = {from, to, fence};
		// Once the lease has expired, the keys are free without an answer.
		const leftMs = Math.max(1, run.ledger.overAt(from, to) - clock.now());
		const timeoutMs = Math.min(releaseTimeoutMs, leftMs);
		const end = await orders.release(server, order, timeoutMs);
		this.#noteLeaving(server, end);
		const message = end.kind === 'unknown' ? end.message : undefined;
		log.info('keys-released', {...keys, end: end.kind, message});
		run.ended ||= end.kind === 'ended';
		return end.kind === 'taken' &&
			run.ledger.isReleaseFinal(from, to, clock.now())
			? {handover: end.handover}
			: undefined;
	}

	#noteLeaving(server: ListedServer, end: OrderOutcome): void {
		if (end.kind === 'taken' && end.leaving) {
			this.context.onLeaving(server);
		}
	}

	/** `runKey` as by `runKeyOf` or `ownerKeyOf`. */
	#leasesOf(runKey: string): RunLeases {
		let run = this.#runs.get(runKey);
		if (!run) {
			run = {
				listed: undefined,
				ledger: GrantLedger.empty,
				renewedAt: -Infinity,
				ended: false,
				inFlight: new Set(),
			};
			this.#runs.set(runKey, run);
		}

		return run;
	}
}

/** The ledger after the outcome of `sent` is known. */
function afterGrant(
	ledger: GrantLedger,
	sent: SentGrant,
	end: OrderOutcome,
	now: Millis,
): GrantLedger {
	const others = ledger.without(sent);
	if (end.kind === 'unknown' && end.neverSent) {
		return others;
	}

	switch (end.kind) {
		case 'outdated':
		case 'ended': {
			return others;
		}

		case 'taken':
		case 'unknown': {
			// If the grant arrived, it did so before now, even if the timeout fired late.
			const overAt = Math.max(sent.overAt, now + keyLeaseMs * slowClockFactor);
			const isTaken = end.kind === 'taken';
			return others.with({...sent, overAt, isTaken}, now);
		}
	}
}
