/** Keeps and logs what the daemon believes about which backend servers are cold. */
import {ServerWarmth, type Clock, type ListedServer} from '@kingcuproute/core';
import {inject, singleton} from 'tsyringe';
import {Log} from '../log/log.js';
import {GatewayMetrics} from './gateway-metrics.js';
import {ViewTask} from './view-task.js';

@singleton()
export class WarmthChecks {
	readonly #warmth = new ServerWarmth();

	constructor(
		@inject(ViewTask) private readonly view: ViewTask,
		@inject('Clock') private readonly clock: Clock,
		@inject(GatewayMetrics) private readonly metrics: GatewayMetrics,
		@inject(Log) private readonly log: Log,
	) {
		view.view.subscribe(({servers = []}) => {
			this.#recordEntries(servers);
		});
	}

	#recordEntries(servers: readonly ListedServer[]): void {
		const ageMs = Math.round(this.clock.now() - this.view.serversReadAt);
		for (const {server, isCold} of this.#warmth.update(servers)) {
			const {service, backendServer, coldMs} = server;
			const event = isCold ? 'server-cold' : 'server-warm';
			this.metrics.warmthChanged(isCold ? 'cold' : 'warm');
			this.log.info(event, {
				service,
				backendServer,
				by: 'entry',
				coldMs,
				ageMs,
			});
		}
	}
}
