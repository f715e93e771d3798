/** Max-min fair division: small demands are met in full, and the larger ones divide the rest equally. */

/** The parts of `total` for `demands`, in the same order. No part exceeds its demand, and the parts sum to at most `total`. */
export function waterFill(
	total: number,
	demands: readonly number[],
): readonly number[] {
	const order = demands
		.map((demand, index) => ({demand, index}))
		.sort((a, b) => a.demand - b.demand);
	const parts = demands.map(() => 0);
	let left = total;
	for (const [doneCount, {demand, index}] of order.entries()) {
		const part = Math.min(demand, left / (order.length - doneCount));
		parts[index] = part;
		left -= part;
	}

	return parts;
}
