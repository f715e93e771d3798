/** The traffic of keys as one daemon measured it, in the form stored on the platform. */
import {
	validate,
	maxKey,
	type Validated,
	type KeyTraffic,
} from '@kingcuproute/core';
import {z} from 'zod';

export const keyTrafficKind = 'kingcuproute-key-traffic';

/** Higher than at any site, and small enough that sums of such values stay finite. */
const maxRate = 1e9;
const maxRunMs = 1e9;

const rate = z.number().nonnegative().max(maxRate);
const runMs = z.number().nonnegative().max(maxRunMs);
const traffic = z.object({
	services: z.array(
		z.object({
			service: z.string(),
			/** Columns: key, requests per second. */
			rates: z.array(z.tuple([z.number().int().min(0).max(maxKey), rate])),
			/** Columns: server, duration of a request there in ms. */
			runs: z.array(z.tuple([z.string(), runMs])),
			/** Columns: server, number of answers that its duration rests on. */
			readings: z
				.array(z.tuple([z.string(), z.number().int().positive()]))
				.optional(),
		}),
	),
});

/** Rounds to two decimal places; more would only make the object longer. */
const decimals = 100;

/** Parses the stored traffic, by service. */
export function parseKeyTraffic(
	spec: unknown,
): Validated<ReadonlyMap<string, KeyTraffic>> {
	return validate(traffic, spec).map(
		({services}) =>
			new Map(
				services.map(({service, rates, runs, readings}) => [
					service,
					{
						rates: new Map(rates),
						runMs: new Map(runs),
						...(readings && {readings: new Map(readings)}),
					},
				]),
			),
	);
}

export function keyTrafficSpec(
	services: ReadonlyMap<string, KeyTraffic>,
): unknown {
	return {
		services: [...services].map(([service, {rates, runMs, readings}]) => ({
			service,
			rates: rounded(rates),
			runs: rounded(runMs),
			...(readings && {readings: [...readings]}),
		})),
	};
}

function rounded<K>(values: ReadonlyMap<K, number>) {
	return [...values].map(([key, value]) => [
		key,
		Math.round(value * decimals) / decimals,
	]);
}
