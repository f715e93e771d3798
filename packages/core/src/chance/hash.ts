/** XxHash hashes, 32 and 64 bits wide, the same on every VM. */
import xxhash from 'xxhash-wasm';

const {h32, h64, h64Raw} = await xxhash();

/** A 32-bit hash of `text`. */
export function hash32(text: string, seed = 0): number {
	return h32(text, seed);
}

/**
 * An odd 32-bit hash of `text`. Its product with another 32-bit hash, by `Math.imul`,
 * is a rendezvous score that costs far less than a hash of both texts.
 */
export function factor32(text: string): number {
	return Math.imul(h32(text), 2) + 1;
}

/** A 64-bit hash of `text`. */
export function hash64(text: string): bigint {
	return h64(text);
}

/** A 64-bit hash of `bytes`. */
export function hashBytes(bytes: Uint8Array): bigint {
	return h64Raw(bytes);
}

/**
 * `items` ordered by rendezvous score for `key`, best first. Every caller with the same
 * items gets the same order, and removing an item moves only the keys it came first for.
 */
export function rendezvous(
	key: string,
	items: readonly string[],
): readonly string[] {
	return items
		.map((item) => ({item, score: hash32(`${key}\n${item}`)}))
		.sort((a, b) => b.score - a.score || (a.item < b.item ? -1 : 1))
		.map(({item}) => item);
}
