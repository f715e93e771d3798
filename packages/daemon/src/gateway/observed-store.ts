/** Counts the calls to the platform's store by kind of object and call, as every call has its price, and records which fail. */
import {type Millis} from '@kingcuproute/core';
import {ObjectStore, type ObjectWrite} from '@kingcuproute/platform';
import {type GatewayMetrics} from './gateway-metrics.js';
import {type StoreContact} from './store-contact.js';

/** The failure of a long poll after this time is no news, since shorter calls are made beside it. */
const outdatedMs: Millis = 5000;

export class ObservedStore extends ObjectStore {
	constructor(
		private readonly store: ObjectStore,
		private readonly metrics: GatewayMetrics,
		private readonly contact: StoreContact,
	) {
		super();
	}

	override get era() {
		return this.store.era;
	}

	override async list(kind: string, stale = false) {
		this.metrics.storeCalled(kind, stale ? 'list-stale' : 'list');
		return this.contact.observe(this.store.list(kind, stale));
	}

	override async watch(
		kind: string,
		revision: number,
		waitMs: Millis,
		stale = false,
	) {
		this.metrics.storeCalled(kind, stale ? 'watch-stale' : 'watch');
		const call = this.store.watch(kind, revision, waitMs, stale);
		return this.contact.observe(call, Math.max(waitMs, outdatedMs));
	}

	override async write(write: ObjectWrite) {
		this.metrics.storeCalled(write.kind, 'write');
		return this.contact.observe(this.store.write(write));
	}

	override async remove(kind: string, name: string) {
		this.metrics.storeCalled(kind, 'remove');
		return this.contact.observe(this.store.remove(kind, name));
	}
}
