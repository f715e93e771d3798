/** What one daemon saw of the keys' requests, as this project stores it on the platform. */
import {
	checked,
	maxKey,
	type Checked,
	type KeyTraffic,
} from '@kingcuproute/core';
import {z} from 'zod';

export const keyTrafficKind = 'kingcuproute-key-traffic';

/** Beyond what any site sees, and small enough that sums of them stay figures. */
const maxRate = 1e9;
const maxRunMs = 1e9;

const rate = z.number().nonnegative().max(maxRate);
const runMs = z.number().nonnegative().max(maxRunMs);
const traffic = z.object({
	services: z.array(
		z.object({
			service: z.string(),
			/** Columns: key, requests a second. */
			rates: z.array(z.tuple([z.number().int().min(0).max(maxKey), rate])),
			/** Columns: server, how long a request runs there in ms. */
			runs: z.array(z.tuple([z.string(), runMs])),
		}),
	),
});

/** Two places of decimals: finer figures only make the object longer. */
const decimals = 100;

/** Traffic by service. */
export function parseKeyTraffic(
	spec: unknown,
): Checked<ReadonlyMap<string, KeyTraffic>> {
	return checked(traffic, spec).map(
		({services}) =>
			new Map(
				services.map(({service, rates, runs}) => [
					service,
					{rates: new Map(rates), runMs: new Map(runs)},
				]),
			),
	);
}

export function keyTrafficSpec(
	services: ReadonlyMap<string, KeyTraffic>,
): unknown {
	return {
		services: [...services].map(([service, {rates, runMs}]) => ({
			service,
			rates: rounded(rates),
			runs: rounded(runMs),
		})),
	};
}

function rounded<K>(values: ReadonlyMap<K, number>) {
	return [...values].map(([key, value]) => [
		key,
		Math.round(value * decimals) / decimals,
	]);
}
