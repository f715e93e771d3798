/** Admits requests within their customers' quotas, and reports this daemon's demand to the others. */
import {
	CustomerQuota,
	type Cancel,
	type Clock,
	type Customer,
	type Millis,
	type QuotaRefusal,
	type Random,
} from '@kingcuproute/core';
import {type Deployment} from '@kingcuproute/platform';
import {Left, Right, type Either} from 'purify-ts';
import {inject, singleton} from 'tsyringe';
import {Log} from '../log/log.js';
import {Task} from '../task/task.js';
import {FleetReports} from './fleet-reports.js';
import {GatewayMetrics} from './gateway-metrics.js';
import {type RequestEnd} from './request-end.js';
import {ViewTask} from './view-task.js';

/** An admitted request; `refund` is called if it has not run and never will. */
export type AdmittedRequest = {readonly refund: () => void};

/** How often new reports are looked for. They arrive each second. */
const pollMs: Millis = 200;
/** Reports older than this no longer count, which is logged. */
const lostMs: Millis = 3000;
/** Callers refused at the same time are told different times, so that they do not return together. */
const retrySpread = 0.5;

const unlimited: AdmittedRequest = {
	refund() {
		// Nothing was taken.
	},
};

@singleton()
export class CustomerQuotas extends Task {
	readonly #quotas = new Map<string, CustomerQuota>();
	#customers: readonly Customer[] = [];
	/** When the last reports were received that were taken in. */
	#receivedAt: Millis = -Infinity;
	#isReceiving = false;
	#cancels: readonly Cancel[] = [];

	constructor(
		@inject(ViewTask) private readonly view: ViewTask,
		@inject('FleetReports') private readonly reports: FleetReports,
		@inject('Deployment') private readonly deployment: Deployment,
		@inject('Clock') private readonly clock: Clock,
		@inject('Random') private readonly random: Random,
		@inject(GatewayMetrics) private readonly metrics: GatewayMetrics,
		@inject(Log) private readonly log: Log,
	) {
		super();
		reports.setDemand(() => this.#demand());
	}

	override async start(): Promise<void> {
		this.#cancels = [
			this.view.view.subscribe(({routes}) => {
				this.#update(routes?.config.customers ?? []);
			}),
			this.clock.repeat(pollMs, () => {
				this.#receive();
			}),
		];
	}

	override async stop(): Promise<void> {
		for (const cancel of this.#cancels) {
			cancel();
		}
	}

	/** Admits a request of this customer, or refuses it as not run. */
	admit(customer: Customer | undefined): Either<RequestEnd, AdmittedRequest> {
		if (!customer || customer.rate === Infinity) {
			return Right(unlimited);
		}

		const quota = this.#quota(customer.name);
		const {daemons} = this.view.view.value;
		const refusal = quota.offer(customer, daemons, this.clock.now());
		const outcome = refusal ? 'over-quota' : 'admitted';
		this.metrics.quotaApplied(customer.name, outcome);
		return refusal
			? Left(this.#endOf(refusal))
			: Right({
					refund() {
						quota.refund();
					},
				});
	}

	#endOf({by, retryMs, ...state}: QuotaRefusal): RequestEnd {
		const spread = 1 + retrySpread * this.random.fraction();
		const {share, part, demand} = state;
		return {
			reason: 'over-quota',
			notRun: true,
			retryAfterMs: Math.round(retryMs * spread),
			full: {
				by,
				share: Number(share.toFixed(4)),
				part: Number(part.toFixed(3)),
				demand: Math.round(demand),
			},
		};
	}

	#quota(customer: string): CustomerQuota {
		let quota = this.#quotas.get(customer);
		if (!quota) {
			const {quotaWindowMs, quotaExcess, quotaSlack} = this.deployment.bounds;
			const bounds = {
				windowMs: quotaWindowMs,
				excess: quotaExcess,
				slack: quotaSlack,
			};
			quota = new CustomerQuota(bounds, this.random, this.clock.now());
			this.#quotas.set(customer, quota);
		}

		return quota;
	}

	/** Keeps state for the customers that have a quota, so that reports are known when their first request comes. */
	#update(customers: readonly Customer[]): void {
		if (customers === this.#customers) {
			return;
		}

		this.#customers = customers;
		const limited = customers.filter(({rate}) => rate < Infinity);
		const names = new Set(limited.map(({name}) => name));
		for (const name of this.#quotas.keys()) {
			if (!names.has(name)) {
				this.#quotas.delete(name);
			}
		}

		for (const name of names) {
			this.#quota(name);
		}
	}

	/** The demand at this daemon, of customers that have any. */
	#demand(): ReadonlyMap<string, number> {
		const now = this.clock.now();
		const rates = [...this.#quotas].map(
			([name, quota]) => [name, quota.reportDemand(now)] as const,
		);
		return new Map(rates.filter(([, rate]) => rate > 0));
	}

	/** Takes in the reports of all daemons, if there are new ones. */
	#receive(): void {
		const {demand} = this.reports;
		const now = this.clock.now();
		if (demand && demand.at > this.#receivedAt) {
			this.#receivedAt = demand.at;
			const {rates, daemons, at} = demand;
			const listed = this.view.view.value.daemons;
			for (const customer of this.#customers) {
				const quota = this.#quotas.get(customer.name);
				const rate = rates.get(customer.name) ?? 0;
				quota?.receive(customer, {rate, daemons, at}, listed);
			}
		}

		this.#logChange(now - this.#receivedAt < lostMs, demand?.daemons);
	}

	#logChange(isReceiving: boolean, daemons: number | undefined): void {
		if (this.#isReceiving !== isReceiving) {
			this.#isReceiving = isReceiving;
			const shares = isReceiving ? 'by-demand' : 'equal';
			this.log.info('quota-shares', {shares, daemons});
		}
	}
}
