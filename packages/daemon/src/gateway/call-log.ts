/**
 * Logs every few seconds what it has cost this daemon to follow the platform's store: calls
 * to the store by kind of object and call, and bytes that peers have sent, by kind of object.
 * Nothing is logged of a time without any.
 */
import {type Cancel, type Clock, type Millis} from '@kingcuproute/core';
import {type Log} from '../log/log.js';
import {type FollowingCost, type GatewayMetrics} from './gateway-metrics.js';

const intervalMs: Millis = 5000;

type Counts = ReadonlyMap<string, number>;

export class CallLog {
	static watch(clock: Clock, log: Log, metrics: GatewayMetrics): CallLog {
		return new CallLog(clock, log, metrics);
	}

	readonly #cancel: Cancel;
	#logged: FollowingCost = {storeCalls: new Map(), peerBytes: new Map()};

	private constructor(
		clock: Clock,
		private readonly log: Log,
		private readonly metrics: GatewayMetrics,
	) {
		this.#cancel = clock.repeat(intervalMs, () => {
			void this.#write();
		});
	}

	stop(): void {
		this.#cancel();
	}

	async #write(): Promise<void> {
		const cost = await this.metrics.followingCost();
		const storeCalls = added(this.#logged.storeCalls, cost.storeCalls);
		const peerBytes = added(this.#logged.peerBytes, cost.peerBytes);
		this.#logged = cost;
		if (storeCalls.size + peerBytes.size > 0) {
			this.log.info('store-followed', {
				storeCalls: textOf(storeCalls),
				peerBytes: textOf(peerBytes),
			});
		}
	}
}

/** By how much each count has grown, without those that have not. */
function added(before: Counts, after: Counts): Counts {
	const differences = [...after].map(
		([name, count]) => [name, count - (before.get(name) ?? 0)] as const,
	);
	return new Map(differences.filter(([, count]) => count > 0));
}

function textOf(counts: Counts): string {
	return [...counts]
		.sort(([, a], [, b]) => b - a)
		.map(([name, count]) => `${name}:${count}`)
		.join(' ');
}
