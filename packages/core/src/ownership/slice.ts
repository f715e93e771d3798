/** Slices: a fixed number of parts into which a service's keys are divided by hash. */
import {hash32} from '../chance/hash.js';

/** The slice of `key`, in [0, count). */
export function sliceOf(key: string, count: number): number {
	return hash32(key) % count;
}
