/** Metrics of the request path. The configuration and the code limit the number of label values. */
import {type Millis, type Refusal} from '@kingcuproute/core';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {inject, singleton} from 'tsyringe';
import {QuarantineTask} from './quarantine/quarantine-task.js';
import {RoutingTask} from './routing-task.js';

/** How a request ended; `failed` means an error in the daemon itself. */
export type RequestOutcome =
	'answered' | 'refused' | 'cut' | 'cancelled' | 'failed';

const secondMs: Millis = 1000;
/** The label of requests for services that are not configured. */
const unknownServiceLabel = 'other';

@singleton()
export class RequestMetrics {
	readonly #requests: Counter<'service' | 'outcome'>;
	readonly #durations: Histogram<'service'>;
	readonly #retries: Counter<'service'>;
	readonly #refusals: Counter<'service' | 'reason' | 'ran'>;
	readonly #hedgesWon: Counter<'service'>;
	readonly #claims: Counter<'verdict'>;

	constructor(
		@inject(Registry) registry: Registry,
		@inject(RoutingTask) private readonly routing: RoutingTask,
		@inject(QuarantineTask) quarantine: QuarantineTask,
	) {
		const registers = [registry];
		this.#requests = new Counter({
			name: 'kingcuproute_requests_total',
			help: 'Requests that have ended, by outcome',
			labelNames: ['service', 'outcome'],
			registers,
		});
		this.#durations = new Histogram({
			name: 'kingcuproute_request_seconds',
			help: 'Time from the arrival of a request that was answered to the end of its answer',
			labelNames: ['service'],
			buckets: [0.001, 0.002, 0.004, 0.008, 0.016, 0.03, 0.1, 0.3, 1, 3, 10],
			registers,
		});
		this.#retries = new Counter({
			name: 'kingcuproute_retries_total',
			help: 'Retries after an attempt without an answer',
			labelNames: ['service'],
			registers,
		});
		this.#refusals = new Counter({
			name: 'kingcuproute_refusals_total',
			help: 'Requests refused, by reason and by whether they may have run',
			labelNames: ['service', 'reason', 'ran'],
			registers,
		});
		this.#hedgesWon = new Counter({
			name: 'kingcuproute_hedges_won_total',
			help: 'Hedges whose answer was passed on to the caller',
			labelNames: ['service'],
			registers,
		});
		this.#claims = new Counter({
			name: 'kingcuproute_idempotency_claims_total',
			help: 'Claims of idempotency keys: granted, or why they were refused',
			labelNames: ['verdict'],
			registers,
		});
		newQuarantineGauge(quarantine, registry);
	}

	/** Counts the end of a request and, if it was answered, observes `ms`, its duration since arrival. */
	ended(name: string, outcome: RequestOutcome, ms: Millis): void {
		const service = this.#label(name);
		this.#requests.inc({service, outcome});
		if (outcome === 'answered') {
			this.#durations.observe({service}, ms / secondMs);
		}
	}

	retried(service: string): void {
		this.#retries.inc({service: this.#label(service)});
	}

	refused(service: string, {reason, ran}: Refusal): void {
		this.#refusals.inc({service: this.#label(service), reason, ran});
	}

	hedgeWon(service: string): void {
		this.#hedgesWon.inc({service: this.#label(service)});
	}

	/** Counts the answer to a claim; no refusal means that the key was granted. */
	claimed(refusal: Refusal | undefined): void {
		this.#claims.inc({verdict: refusal?.reason ?? 'granted'});
	}

	#label(service: string): string {
		return this.routing.routing.value.has(service)
			? service
			: unknownServiceLabel;
	}
}

function newQuarantineGauge(
	quarantine: QuarantineTask,
	registry: Registry,
): Gauge {
	return new Gauge({
		name: 'kingcuproute_quarantined_fingerprints',
		help: 'Fingerprints of requests that this daemon refuses because they were in flight at crashes',
		registers: [registry],
		collect() {
			this.set(quarantine.condemned.value.length);
		},
	});
}
