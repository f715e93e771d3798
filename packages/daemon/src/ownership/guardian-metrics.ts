/** Metrics of guardians. */
import {Counter, Gauge, type Registry} from 'prom-client';

export class GuardianMetrics {
	readonly leases: Gauge;
	readonly blocked: Gauge;
	readonly renewals: Counter;
	readonly takeovers: Counter<'how'>;
	readonly lapses: Counter;
	readonly moves: Counter<'reason'>;

	constructor(registry: Registry) {
		const registers = [registry];
		this.leases = new Gauge({
			name: 'kingcuproute_leases_held',
			help: 'Backend servers whose lease this daemon renews.',
			registers,
		});
		this.blocked = new Gauge({
			name: 'kingcuproute_servers_blocked',
			help: 'Backend servers for which this daemon can currently do nothing.',
			registers,
		});
		this.renewals = new Counter({
			name: 'kingcuproute_renewals_total',
			help: 'Orders that backend servers carried out.',
			registers,
		});
		this.takeovers = new Counter({
			name: 'kingcuproute_takeovers_total',
			help: 'Guardians that this daemon replaced, through the store or by rank.',
			labelNames: ['how'],
			registers,
		});
		this.lapses = new Counter({
			name: 'kingcuproute_lapses_total',
			help: 'Backend servers that this daemon found to be lost.',
			registers,
		});
		this.moves = new Counter({
			name: 'kingcuproute_slices_moved_total',
			help: 'Slices that this daemon moved to another owner.',
			labelNames: ['reason'],
			registers,
		});
	}
}
