/**
 * Logs every few seconds what it has cost this daemon to follow the platform's store: calls
 * to the store by kind of object and call, and what peers have sent, by kind of object.
 * Nothing is logged of a time without any.
 */
import {type Cancel, type Clock, type Millis} from '@kingcuproute/core';
import {type Log} from '../log/log.js';
import {type GatewayMetrics} from './gateway-metrics.js';

const intervalMs: Millis = 5000;

export class CallLog {
	static watch(clock: Clock, log: Log, metrics: GatewayMetrics): CallLog {
		return new CallLog(clock, log, metrics);
	}

	readonly #cancel: Cancel;

	private constructor(
		clock: Clock,
		private readonly log: Log,
		private readonly metrics: GatewayMetrics,
	) {
		this.#cancel = clock.repeat(intervalMs, () => {
			this.#write();
		});
	}

	stop(): void {
		this.#cancel();
	}

	#write(): void {
		const {storeCalls, peerBytes} = this.metrics.takeRecent();
		if (storeCalls.size + peerBytes.size > 0) {
			this.log.info('store-followed', {
				storeCalls: textOf(storeCalls),
				peerBytes: textOf(peerBytes),
			});
		}
	}
}

function textOf(counts: ReadonlyMap<string, number>): string {
	return [...counts]
		.sort(([, a], [, b]) => b - a)
		.map(([name, count]) => `${name}:${count}`)
		.join(' ');
}
