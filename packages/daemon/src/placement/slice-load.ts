/** Counts keyed requests by slice and for the heaviest keys, between one report and the next. */
import {
	HeavyKeys,
	maxHeavyKeys,
	maxHotKeyLen,
	sliceOf,
	type RequestCounts,
	type Service,
} from '@kingcuproute/core';
import {singleton} from 'tsyringe';

/** The counts of one service. Keys are counted in batches of bounded size, each of which is then merged into the heavy keys. */
class ServiceCounts {
	readonly slices = new Map<number, number>();
	readonly #batch = new Map<string, number>();
	#heavy = HeavyKeys.empty;

	record(slice: number, key: string): void {
		this.slices.set(slice, (this.slices.get(slice) ?? 0) + 1);
		if (key.length <= maxHotKeyLen) {
			this.#batch.set(key, (this.#batch.get(key) ?? 0) + 1);
		}

		if (this.#batch.size >= maxHeavyKeys) {
			this.#mergeBatch();
		}
	}

	keys(): ReadonlyMap<string, number> {
		this.#mergeBatch();
		return this.#heavy.counts;
	}

	#mergeBatch(): void {
		this.#heavy = this.#heavy.withBatch(this.#batch);
		this.#batch.clear();
	}
}

@singleton()
export class SliceLoad {
	readonly #counts = new Map<string, ServiceCounts>();

	/** Counts one request that was routed by table row `row`. Called for every keyed request, so it does nothing else. */
	record({service, slices}: Service, key: string, row: number): void {
		let counts = this.#counts.get(service);
		if (!counts) {
			counts = new ServiceCounts();
			this.#counts.set(service, counts);
		}

		// A hot key with its own row counts towards its slice too, so that a slice's load means the same in every table.
		counts.record(row < slices ? row : sliceOf(key, slices), key);
	}

	/** Returns the service's counts since the last call and resets them. */
	take(service: string): RequestCounts {
		const counts = this.#counts.get(service) ?? new ServiceCounts();
		this.#counts.delete(service);
		return {slices: counts.slices, keys: counts.keys()};
	}
}
