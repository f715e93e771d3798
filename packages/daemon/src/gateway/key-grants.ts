/**
 * Leases on keys that this daemon has given to backend servers, by run: when each is
 * over at the latest, and how keys are got back before.
 */
import {
	GrantLedger,
	isHeldBy,
	type Clock,
	type KeyRange,
	type ListedServer,
	type Millis,
	type SentGrant,
} from '@kingcuproute/core';
import {type KeyOrders, type OrderEnd} from '@kingcuproute/platform';
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
	ledger: GrantLedger;
	renewedAt: Millis;
	/** Nothing runs any more where it did. */
	ended: boolean;
	/** Grants that are not answered yet. */
	readonly inFlight: Set<Promise<void>>;
};

export class KeyGrants {
	/** By server and start. */
	readonly #runs = new Map<string, Run>();

	constructor(private readonly means: KeyGrantsMeans) {}

	/** Grants under way, and all that may be carried out still. */
	get open(): {readonly underWay: number; readonly unanswered: number} {
		const now = this.means.clock.now();
		let underWay = 0;
		let unanswered = 0;
		for (const {inFlight, ledger} of this.#runs.values()) {
			underWay += inFlight.size;
			unanswered += ledger.open(now);
		}

		return {underWay, unanswered};
	}

	/** Takes the holders of `ranges` to have been sent grants of them by another daemon until now. */
	assumeSent(ranges: readonly KeyRange[]): void {
		const now = this.means.clock.now();
		for (const {owner, ownerStartedAt, from, to, fence} of ranges) {
			const run = this.#run(owner, ownerStartedAt);
			const overAt = now + longestLeaseMs;
			const grant = {from, to, fence, overAt, isTaken: false};
			run.ledger = run.ledger.with(grant, now);
		}
	}

	/** Whether this run of the server is known to be over. */
	hasEnded({backendServer, startedAt}: ListedServer): boolean {
		return this.#run(backendServer, startedAt).ended;
	}

	/** Whether the holder's keys from `from` to `to` can be free as soon as it has released them. */
	isSettled(holder: KeyRange, from: number, to: number): boolean {
		const {ledger} = this.#run(holder.owner, holder.ownerStartedAt);
		return ledger.isReleaseFinal(from, to, this.means.clock.now());
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
		// A grant still on its way must not be taken after the release.
		await Promise.all(run.inFlight);
		// These keys are not renewed any more; the server's other keys go on.
		const overAt = run.ledger.overAt(from, to);
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
		const unanswered = run.ledger.open(now);
		const keys = {service, backendServer, from, to, fence};
		log.info('keys-free', {...keys, by, waitedMs, leaseLeftMs, unanswered});
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
		const now = clock.now();
		const overAt = now + longestLeaseMs;
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
		if (end.kind !== 'taken') {
			const keys = {service, backendServer, from, to, fence};
			const message = end.kind === 'unknown' ? end.message : undefined;
			log.warn('grant-failed', {...keys, end: end.kind, message});
		}
	}

	/** Undefined where the holder may still hold the keys. */
	async #release(
		holder: KeyRange,
		from: number,
		to: number,
		run: Run,
	): Promise<{readonly handover: string | undefined} | undefined> {
		const {clock, orders, listed, log, lease, service} = this.means;
		const {owner: backendServer, fence} = holder;
		const keys = {service, backendServer, from, to, fence};
		const server = listed().find((one) => isHeldBy(holder, one));
		if (!server) {
			log.info('holder-gone', keys);
			return undefined;
		}

		// A server refuses no release, whoever keeps its keys by now.
		if (!lease.isHeld) {
			return undefined;
		}

		const order = {from, to, fence};
		const end = await orders.release(server, order, releaseTimeoutMs);
		const message = end.kind === 'unknown' ? end.message : undefined;
		log.info('keys-released', {...keys, end: end.kind, message});
		run.ended ||= end.kind === 'ended';
		return end.kind === 'taken' &&
			run.ledger.isReleaseFinal(from, to, clock.now())
			? {handover: end.handover}
			: undefined;
	}

	#run(server: string, startedAt: number): Run {
		const name = `${server}\n${startedAt}`;
		let run = this.#runs.get(name);
		if (!run) {
			run = {
				ledger: GrantLedger.empty,
				renewedAt: -Infinity,
				ended: false,
				inFlight: new Set(),
			};
			this.#runs.set(name, run);
		}

		return run;
	}
}

/** The ledger once the end of `sent` is known. */
function afterGrant(
	ledger: GrantLedger,
	sent: SentGrant,
	end: OrderEnd,
	now: Millis,
): GrantLedger {
	const others = ledger.without(sent);
	switch (end.kind) {
		case 'outdated':
		case 'ended': {
			return others;
		}

		case 'taken':
		case 'unknown': {
			// It arrived before now, if it did; a timer that fired late does not shorten that.
			const overAt = Math.max(sent.overAt, now + keyLeaseMs * slowClock);
			const isTaken = end.kind === 'taken';
			return others.with({...sent, overAt, isTaken}, now);
		}
	}
}
