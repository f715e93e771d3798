/** A fleet of simulated daemons that share one customer's quota, with reports that travel over one peer in each failure domain. */
import {
	CustomerQuota,
	SeededRandom,
	type Millis,
	type Quota,
	type QuotaBounds,
} from '../../src/index.js';

export const bounds: QuotaBounds = {windowMs: 5000, excess: 0.1, slack: 20};

const stepMs: Millis = 10;
const reportMs: Millis = 1000;
const expiryMs: Millis = 3000;
const domainCount = 4;

type Report = {readonly rate: number; readonly at: Millis};

class Daemon {
	quota: CustomerQuota;
	/** Reports do not leave or reach it. */
	isCutOff = false;
	/** It does nothing at all. */
	isPaused = false;
	nextReportAt: Millis;

	constructor(
		readonly name: string,
		readonly domain: number,
		readonly random: SeededRandom,
		now: Millis,
		/** The number of daemons that it knows to be listed. */
		public listed: number,
	) {
		this.quota = new CustomerQuota(bounds, random, now);
		this.nextReportAt = now + random.fraction() * reportMs;
	}
}

/** The peer of one domain: its daemons' reports, and what the other peers last said. */
class Peer {
	readonly own = new Map<string, Report>();
	readonly others = new Map<number, ReadonlyMap<string, Report>>();
	nextExchangeAt: Millis = 0;
}

export type FleetFaults = {
	/** The part of all reports and exchanges that is lost. */
	readonly loss: number;
	/** The longest extra time that a sum takes to a daemon. */
	readonly lateMs: Millis;
};

export class QuotaFleet {
	now: Millis = 0;
	readonly daemons: Daemon[] = [];
	readonly admittedAt: Millis[] = [];
	offered = 0;
	refused = 0;
	/** The number of daemons that the store lists. */
	listed = 0;
	readonly random: SeededRandom;
	readonly #peers = Array.from({length: domainCount}, () => new Peer());
	#deliveries: Array<{at: Millis; act: () => void}> = [];
	#added = 0;

	constructor(
		size: number,
		readonly quota: Quota,
		readonly faults: FleetFaults,
		seed: number,
	) {
		this.random = new SeededRandom(seed);
		for (let index = 0; index < size; index++) {
			this.add();
		}

		for (const daemon of this.daemons) {
			daemon.listed = size;
		}
	}

	add(): void {
		const seed = this.random.below(1_000_000_000);
		this.listed++;
		this.daemons.push(
			new Daemon(
				`d${this.#added}`,
				this.#added % domainCount,
				new SeededRandom(seed),
				this.now,
				this.listed,
			),
		);
		this.#added++;
	}

	/** Ends a daemon; the store lists it on. */
	kill(index: number): void {
		this.daemons.splice(index, 1);
	}

	/** Runs for `ms`. Requests arrive at random at `ratePerS`, distributed by `weights` over the daemons. */
	run(ms: Millis, ratePerS: number, weights: readonly number[]): void {
		let total = 0;
		const sums = this.daemons.map((_, index) => {
			total += weights[index % weights.length];
			return total;
		});
		for (const end = this.now + ms; this.now < end; this.now += stepMs) {
			this.#exchange();
			const mean = (ratePerS * stepMs) / 1000;
			for (let count = this.#poisson(mean); count > 0; count--) {
				const at = this.random.fraction() * total;
				const index = sums.findIndex((sum) => at < sum);
				this.#offer(this.daemons[index]);
			}
		}
	}

	/** The most requests admitted in one window, as a part of the bound. */
	peak(bound: number): number {
		let most = 0;
		let first = 0;
		for (const [index, at] of this.admittedAt.entries()) {
			while (at - this.admittedAt[first] >= bounds.windowMs) {
				first++;
			}

			most = Math.max(most, index - first + 1);
		}

		return most / bound;
	}

	#offer(daemon: Daemon): void {
		if (daemon.isPaused) {
			return;
		}

		this.offered++;
		if (daemon.quota.offer(this.quota, daemon.listed, this.now) === undefined) {
			this.admittedAt.push(this.now);
		} else {
			this.refused++;
		}
	}

	#exchange(): void {
		const due = this.#deliveries.filter(({at}) => at <= this.now);
		this.#deliveries = this.#deliveries.filter(({at}) => at > this.now);
		for (const {act} of due) {
			act();
		}

		for (const [domain, peer] of this.#peers.entries()) {
			if (peer.nextExchangeAt <= this.now) {
				peer.nextExchangeAt = this.now + this.#interval();
				for (const other of this.#peers) {
					if (other !== peer && !this.#isLost()) {
						other.others.set(domain, new Map(peer.own));
					}
				}
			}
		}

		for (const daemon of this.daemons) {
			if (!daemon.isPaused && daemon.nextReportAt <= this.now) {
				daemon.nextReportAt = this.now + this.#interval();
				this.#report(daemon);
			}
		}
	}

	#report(daemon: Daemon): void {
		const peer = this.#peers[daemon.domain];
		const rate = daemon.quota.reportDemand(this.now);
		if (daemon.isCutOff || this.#isLost()) {
			return;
		}

		daemon.listed = this.listed;

		peer.own.set(daemon.name, {rate, at: this.now});
		if (this.#isLost()) {
			return;
		}

		const reports = [peer.own, ...peer.others.values()]
			.flatMap((map) => [...map.values()])
			.filter(({at}) => this.now - at < expiryMs);
		let sum = 0;
		for (const report of reports) {
			sum += report.rate;
		}

		const demand = {rate: sum, daemons: reports.length, at: this.now};
		const lateMs = this.random.fraction() * this.faults.lateMs;
		for (const extraMs of this.random.fraction() < 0.1 ? [0, 500] : [0]) {
			this.#deliveries.push({
				at: this.now + lateMs + extraMs,
				act: () => {
					daemon.quota.receive(this.quota, demand, daemon.listed);
				},
			});
		}
	}

	#interval(): Millis {
		return reportMs * (0.8 + 0.4 * this.random.fraction());
	}

	#isLost(): boolean {
		return this.random.fraction() < this.faults.loss;
	}

	#poisson(mean: number): number {
		const limit = Math.exp(-mean);
		let product = this.random.fraction();
		let count = 0;
		while (product > limit) {
			product *= this.random.fraction();
			count++;
		}

		return count;
	}
}
