/** Counts the calls to the platform's store by kind of object and call, as every call has its price. */
import {type Millis} from '@kingcuproute/core';
import {ObjectStore, type ObjectWrite} from '@kingcuproute/platform';
import {type GatewayMetrics} from './gateway-metrics.js';

export class CountedStore extends ObjectStore {
	constructor(
		private readonly store: ObjectStore,
		private readonly metrics: GatewayMetrics,
	) {
		super();
	}

	override async list(kind: string, stale = false) {
		this.metrics.storeCalled(kind, stale ? 'list-stale' : 'list');
		return this.store.list(kind, stale);
	}

	override async watch(
		kind: string,
		revision: number,
		waitMs: Millis,
		stale = false,
	) {
		this.metrics.storeCalled(kind, stale ? 'watch-stale' : 'watch');
		return this.store.watch(kind, revision, waitMs, stale);
	}

	override async write(write: ObjectWrite) {
		this.metrics.storeCalled(write.kind, 'write');
		return this.store.write(write);
	}

	override async remove(kind: string, name: string) {
		this.metrics.storeCalled(kind, 'remove');
		return this.store.remove(kind, name);
	}
}
