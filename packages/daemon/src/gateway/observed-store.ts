/** Counts the calls to the platform's store by kind of object and call, as every call has its price, and records which fail. */
import {type Millis} from '@kingcuproute/core';
import {
	ObjectStore,
	type ObjectError,
	type ObjectWrite,
} from '@kingcuproute/platform';
import {type Either} from 'purify-ts';
import {type GatewayMetrics} from './gateway-metrics.js';
import {type StoreContact} from './store-contact.js';

export class ObservedStore extends ObjectStore {
	constructor(
		private readonly store: ObjectStore,
		private readonly metrics: GatewayMetrics,
		private readonly contact: StoreContact,
	) {
		super();
	}

	override async list(kind: string, stale = false) {
		this.metrics.storeCalled(kind, stale ? 'list-stale' : 'list');
		return this.#record(this.store.list(kind, stale));
	}

	override async watch(
		kind: string,
		revision: number,
		waitMs: Millis,
		stale = false,
	) {
		this.metrics.storeCalled(kind, stale ? 'watch-stale' : 'watch');
		return this.#record(this.store.watch(kind, revision, waitMs, stale));
	}

	override async write(write: ObjectWrite) {
		this.metrics.storeCalled(write.kind, 'write');
		return this.#record(this.store.write(write));
	}

	override async remove(kind: string, name: string) {
		this.metrics.storeCalled(kind, 'remove');
		return this.#record(this.store.remove(kind, name));
	}

	async #record<T>(
		call: Promise<Either<ObjectError, T>>,
	): Promise<Either<ObjectError, T>> {
		const outcome = await call;
		this.contact.record(outcome);
		return outcome;
	}
}
