/** Settings of idempotency keys. Durations are in ms and must be the same on every daemon. */
import {z} from 'zod';

export const keysSettings = z
	.strictObject({
		/** How long a key is valid after its creation. */
		windowMs: z.number().int().min(1000).max(86_400_000).default(600_000),
		/** Limit on the skew between the clocks of callers and daemons. */
		skewMs: z.number().int().min(0).max(60_000).default(1000),
		/** Limit on the keys that one daemon records. */
		maxRecords: z.number().int().min(1).max(10_000_000).default(200_000),
		/** How long a holder may grant without hearing from its successor. */
		loanMs: z.number().int().min(200).max(60_000).default(1000),
	})
	.prefault({});
