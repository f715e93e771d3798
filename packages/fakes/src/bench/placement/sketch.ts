/** What counting keys costs a request, beside counting slices: the daemon's work in a loop of its own. */
import {HeavyKeys, maxHeavyKeys, SeededRandom} from '@kingcuproute/core';
import {evenShares, KeyPopulation} from './key-population.js';

const requests = 400_000;
const rounds = 5;
const slices = 4096;

/** Times in ns a request, the least of some rounds each; and the longest single fold in ms. */
export function sketchNanos(seed: number) {
	const keys = new KeyPopulation(slices, evenShares);
	const random = new SeededRandom(seed);
	const asked = Array.from({length: requests}, () => keys.draw(random, 0));
	const bare = least(() => {
		const counts = new Map<number, number>();
		for (const {slice} of asked) {
			counts.set(slice, (counts.get(slice) ?? 0) + 1);
		}
	});
	let longestFoldMs = 0;
	let kept = 0;
	const counted = least(() => {
		const counts = new Map<number, number>();
		const batch = new Map<string, number>();
		let heavy = HeavyKeys.empty;
		for (const {key, slice} of asked) {
			counts.set(slice, (counts.get(slice) ?? 0) + 1);
			batch.set(key, (batch.get(key) ?? 0) + 1);
			if (batch.size >= maxHeavyKeys) {
				const start = performance.now();
				heavy = heavy.withBatch(batch);
				batch.clear();
				longestFoldMs = Math.max(longestFoldMs, performance.now() - start);
			}
		}

		kept = heavy.counts.size;
	});
	return {
		sliceNs: Math.round(bare),
		sliceAndKeyNs: Math.round(counted),
		keyNs: Math.round(counted - bare),
		longestFoldMs: Math.round(longestFoldMs * 100) / 100,
		kept,
	};
}

function least(work: () => void): number {
	let best = Infinity;
	for (let round = 0; round < rounds; round++) {
		const start = performance.now();
		work();
		best = Math.min(best, performance.now() - start);
	}

	return (best * 1e6) / requests;
}
