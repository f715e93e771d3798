/** The upper one of the two middle values where their number is even; undefined without any. */
export function median(values: readonly number[]): number | undefined {
	return values.toSorted((a, b) => a - b).at(Math.floor(values.length / 2));
}
