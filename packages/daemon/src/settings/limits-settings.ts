/** Settings for enforcing contracts' limits across the fleet. Durations are in ms. */
import {z} from 'zod';

export const limitsSettings = z
	.strictObject({
		/** Interval at which a daemon asks for shares. */
		askMs: z.number().int().min(50).max(10_000).default(200),
		/** How long a granted share may be used. */
		grantMs: z.number().int().min(200).max(60_000).default(1000),
		/** How long a lent share is not reduced; at least grantMs and two intervals of asking. */
		promiseMs: z.number().int().min(300).max(60_000).default(2000),
	})
	.refine(
		({askMs, grantMs, promiseMs}) => promiseMs >= grantMs + 2 * askMs,
		'promiseMs must be at least grantMs + 2 * askMs',
	)
	.prefault({});
