/** Metrics of contract limits. */
import {Counter, Registry} from 'prom-client';
import {inject, singleton} from 'tsyringe';

@singleton()
export class LimitsMetrics {
	readonly #shed: Counter<'customer'>;

	constructor(@inject(Registry) registry: Registry) {
		this.#shed = new Counter({
			name: 'kingcuproute_shed_total',
			help: 'Requests refused for being over the limits of a contract',
			labelNames: ['customer'],
			registers: [registry],
		});
	}

	shed(customer: string): void {
		this.#shed.inc({customer});
	}
}
