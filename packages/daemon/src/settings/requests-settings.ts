/** Settings of the request path. Durations are in ms, lengths in bytes. */
import {z} from 'zod';

const ms = (defaultMs: number) =>
	z.number().int().min(10).max(3_600_000).default(defaultMs);

export const requestsSettings = z
	.strictObject({
		/** Limit on the length of a request header. */
		maxHeaderLen: z.number().int().min(1024).max(1_048_576).default(16_384),
		/** Limit on the length of a request body. */
		maxBodyLen: z.number().int().min(0).default(268_435_456),
		/** Limit on how much of a body is kept for another attempt, and of an answer until it is complete. */
		replayLen: z.number().int().min(0).max(1_048_576).default(32_768),
		/** Time within which a caller must send its request header. */
		headerMs: ms(10_000),
		/** Time within which a caller must send a whole request. */
		requestMs: ms(300_000),
		/** How long a caller's connection may be idle. */
		callerIdleMs: ms(30_000),
		/** How long either side may make no progress on an answer that has begun. */
		answerIdleMs: ms(30_000),
		/** How long a connection to a backend server may take to open. */
		connectMs: ms(500),
		/** How long a connection to a backend server may be idle before it is closed. */
		serverIdleMs: ms(2000),
		/** Limit on a daemon's connections to one backend server; a service's `connections` limits them across the fleet. */
		maxConnections: z.number().int().min(1).max(10_000).default(16),
		/** How long a request waits for a slice that has no owner. */
		ownerWaitMs: ms(3000),
		/** Retries earned by one success. */
		retryShare: z.number().min(0).max(1).default(0.1),
		/** Limit on the retries that may be saved up. */
		retryBurst: z.number().int().min(1).max(10_000).default(20),
	})
	.refine(({headerMs, requestMs}) => headerMs <= requestMs, {
		path: ['headerMs'],
		error: 'longer than requestMs',
	})
	.prefault({});
