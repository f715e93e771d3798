/** Metrics of load balancing. */
import {type Millis} from '@kingcuproute/core';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {inject, singleton} from 'tsyringe';

const secondMs: Millis = 1000;

@singleton()
export class BalanceMetrics {
	readonly #refusals: Counter<'service' | 'reason'>;
	readonly #hedges: Counter<'service'>;
	readonly #waits: Histogram<'service'>;
	readonly #ejected: Gauge;
	readonly #ramping: Gauge;

	constructor(@inject(Registry) registry: Registry) {
		const registers = [registry];
		this.#refusals = new Counter({
			name: 'kingcuproute_balance_refusals_total',
			help: 'Requests for which no backend server was picked',
			labelNames: ['service', 'reason'],
			registers,
		});
		this.#hedges = new Counter({
			name: 'kingcuproute_hedges_total',
			help: 'Second attempts of idempotent requests that were late',
			labelNames: ['service'],
			registers,
		});
		this.#waits = new Histogram({
			name: 'kingcuproute_queue_wait_seconds',
			help: 'Time that requests waited for a backend server',
			labelNames: ['service'],
			buckets: [0, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3],
			registers,
		});
		this.#ejected = new Gauge({
			name: 'kingcuproute_ejected_servers',
			help: 'Backend servers ejected by this daemon',
			registers,
		});
		this.#ramping = new Gauge({
			name: 'kingcuproute_ramping_servers',
			help: 'Backend servers in slow start, with a growing share',
			registers,
		});
	}

	refused(service: string, reason: string): void {
		this.#refusals.inc({service, reason});
	}

	queued(service: string, ms: Millis): void {
		this.#waits.observe({service}, ms / secondMs);
	}

	hedged(service: string): void {
		this.#hedges.inc({service});
	}

	setServerCounts(ejected: number, ramping: number): void {
		this.#ejected.set(ejected);
		this.#ramping.set(ramping);
	}
}
