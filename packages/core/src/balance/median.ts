/** The median; the upper middle value for an even number of values, undefined for none. */
export function median(values: readonly number[]): number | undefined {
	return values.toSorted((a, b) => a - b).at(Math.floor(values.length / 2));
}
