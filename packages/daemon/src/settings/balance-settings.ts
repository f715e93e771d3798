/** Settings of load balancing. Durations are in ms. */
import {z} from 'zod';

export const balanceSettings = z
	.strictObject({
		/** Interval at which a daemon reads the health and load of a server. */
		pollMs: z.number().int().min(50).max(60_000).default(500),
		/** Limit on the health and load reads in flight at once. */
		maxPolls: z.number().int().min(1).max(1000).default(16),
		/** Share of answered requests that may be hedged. */
		hedgeShare: z.number().min(0).max(1).default(0.05),
		/** Limit on the requests that wait for a server, per service. */
		maxQueueLen: z.number().int().min(1).max(10_000).default(128),
	})
	.prefault({});
