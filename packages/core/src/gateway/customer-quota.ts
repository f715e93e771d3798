/**
 * One customer's quota at one daemon. While reports of all daemons arrive, every daemon
 * admits the same part of the requests (quota-pace.ts), and besides not much more than its
 * own part of the quota (quota-share.ts, quota-bucket.ts): that bounds a surge until the
 * reports show it. Without reports, a daemon goes by its part alone while demand was low a
 * moment ago, and then admits an equal part of rate and burst.
 */
import {type Random} from '../chance/random.js';
import {type Flow} from '../limits/bucket.js';
import {type Millis} from '../time/clock.js';
import {DemandMeter} from './demand-meter.js';
import {QuotaBucket} from './quota-bucket.js';
import {fleetFlow, type Quota, type QuotaBounds} from './quota-flow.js';
import {QuotaPace} from './quota-pace.js';
import {QuotaShare} from './quota-share.js';
import {FleetDemandHistory, type ReportedDemand} from './reported-demand.js';

/** Why a request is refused, and what a daemon knows of the quota, for the log. */
export type QuotaRefusal = {
	/** `pace`: the fleet's demand is too high; `share`: this daemon's; `equal`: likewise, without reports. */
	readonly by: 'pace' | 'share' | 'equal';
	/** When another request may be admitted. */
	readonly retryMs: Millis;
	/** The part of the quota that this daemon may use. */
	readonly share: number;
	/** The part of the requests that all daemons admit. */
	readonly part: number;
	/** The reported demand of all daemons, in requests a second. */
	readonly demand: number;
};

/**
 * A daemon's own bound, while reports arrive, as multiples of its part. The figures are
 * from trials with 19 and 59 daemons (docs/design/quotas.md): lower ones refuse more
 * requests of customers below their quota, higher ones let a surge through for longer.
 */
const rateMultiple = 1.2;
/** Its own demand may grow by this factor until it is reported. */
const growth = 3;
/** The spread of chance grows with the root of what is expected. */
const burstRoots = 0.8;
/** Enough for requests that happen to meet at one daemon. */
const minBurst = 3;
/** Lets a daemon go on that has met a few requests and no report of them yet. */
const minRate = 0.3;
/** The longest time that a caller is told to wait. */
const maxRetryMs: Millis = 5000;
/** Demand is low up to this share of the quota: were the daemons without reports to admit their parts, and the others the rest, the sum would stay within the rule. */
const lowShare = 0.5;
const secondMs: Millis = 1000;

export class CustomerQuota {
	readonly #demand = new FleetDemandHistory();
	readonly #share = new QuotaShare();
	readonly #pace: QuotaPace;
	readonly #meter: DemandMeter;
	readonly #bucket: QuotaBucket;

	constructor(
		private readonly bounds: QuotaBounds,
		random: Random,
		now: Millis,
	) {
		this.#meter = new DemandMeter(now);
		this.#bucket = new QuotaBucket(now, random);
		this.#pace = new QuotaPace(random.fraction());
	}

	/** Measures the daemon's demand, in requests a second, for its next report. */
	reportDemand(now: Millis): number {
		const demand = this.#meter.measure(now);
		this.#share.report(demand);
		return demand.latest;
	}

	/** Records a sum of reports, where the store lists `listed` daemons. */
	receive(quota: Quota, sum: ReportedDemand, listed: number): void {
		if (!this.#demand.receive(sum)) {
			return;
		}

		const {rate, elapsedMs} = this.#demand;
		if (elapsedMs === undefined) {
			this.#pace.reset();
			this.#share.reset();
		}

		const daemons = Math.max(1, listed, sum.daemons);
		const present = sum.daemons / daemons;
		const known = {rate, present, daemons, elapsedMs: elapsedMs ?? secondMs};
		this.#share.update(known);
		const {ratePerSecond, burst} = fleetFlow(quota, this.bounds);
		this.#pace.update(
			rate,
			{ratePerSecond: ratePerSecond * present, burst: burst * present},
			known.elapsedMs,
		);
	}

	/** Admits a request; undefined if it is admitted. */
	offer(quota: Quota, listed: number, now: Millis): QuotaRefusal | undefined {
		this.#meter.record();
		const daemons = Math.max(1, listed);
		const isCurrent = this.#demand.isCurrent(now);
		const goesByShare = isCurrent || this.#wasLow(quota, now);
		const share = goesByShare ? this.#share.share(daemons) : 1 / daemons;
		if (isCurrent && !this.#pace.take()) {
			return this.#refusal('pace', share, secondMs / this.#pace.part);
		}

		const flow = this.#flow(quota, share, goesByShare);
		if (this.#bucket.take(flow, now)) {
			return undefined;
		}

		const by = goesByShare ? 'share' : 'equal';
		return this.#refusal(by, share, this.#bucket.untilToken(flow, now));
	}

	/** Takes back the admission of a request that did not run. */
	refund(): void {
		this.#bucket.refund();
	}

	/** Whether the fleet's demand was low a moment ago. */
	#wasLow({rate}: Quota, now: Millis): boolean {
		const {lasting} = this.#share;
		const isLow = lasting <= rate * lowShare && this.#pace.part === 1;
		return isLow && this.#demand.isRecent(now);
	}

	/** What this daemon may admit by its part of the quota. */
	#flow(quota: Quota, share: number, goesByShare: boolean): Flow {
		const fleet = fleetFlow(quota, this.bounds);
		const ratePerSecond = fleet.ratePerSecond * share;
		const burst = fleet.burst * share;
		const {recent, lasting} = this.#share.own;
		const grown = Math.max(recent, lasting) * growth;
		return goesByShare
			? {
					ratePerSecond: Math.max(
						minRate,
						Math.min(grown, ratePerSecond * rateMultiple),
					),
					burst: Math.max(minBurst, burst + burstRoots * Math.sqrt(burst)),
				}
			: {ratePerSecond, burst};
	}

	#refusal(
		by: QuotaRefusal['by'],
		share: number,
		retryMs: Millis,
	): QuotaRefusal {
		return {
			by,
			retryMs: Math.min(maxRetryMs, retryMs),
			share,
			part: this.#pace.part,
			demand: this.#demand.rate,
		};
	}
}
