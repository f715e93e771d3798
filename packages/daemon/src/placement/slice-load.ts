/** Counts keyed requests by slice, and the heaviest keys, between one report and the next. */
import {
	HeavyKeys,
	maxHeavyKeys,
	maxHotKeyLen,
	sliceOf,
	type Counted,
	type Service,
} from '@kingcuproute/core';
import {singleton} from 'tsyringe';

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
			this.#fold();
		}
	}

	keys(): ReadonlyMap<string, number> {
		this.#fold();
		return this.#heavy.counts;
	}

	#fold(): void {
		this.#heavy = this.#heavy.with(this.#batch);
		this.#batch.clear();
	}
}

@singleton()
export class SliceLoad {
	readonly #counts = new Map<string, ServiceCounts>();

	/** Counts one request, sent by `row`; called for every keyed request, so it does no more than that. */
	note({service, slices}: Service, key: string, row: number): void {
		let counts = this.#counts.get(service);
		if (!counts) {
			counts = new ServiceCounts();
			this.#counts.set(service, counts);
		}

		// A hot key counts for its slice too, so that the slice's load means the same in every table.
		counts.record(row < slices ? row : sliceOf(key, slices), key);
	}

	/** What was counted of the service since the last call, which starts anew. */
	take(service: string): Counted {
		const counts = this.#counts.get(service) ?? new ServiceCounts();
		this.#counts.delete(service);
		return {slices: counts.slices, keys: counts.keys()};
	}
}
