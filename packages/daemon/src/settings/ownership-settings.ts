/** Settings of leases and of the daemons that guard them. Durations are in ms. All daemons must have the same values. */
import {z} from 'zod';

const ownership = z
	.strictObject({
		/** Duration of a backend server's lease. */
		leaseMs: z.number().int().min(200).max(60_000).default(1000),
		/** Interval at which a lease is renewed. */
		renewMs: z.number().int().min(20).max(20_000).default(250),
		/** Margin for clock differences, added to every wait that depends on another machine's clock. */
		marginMs: z.number().int().min(1).max(10_000).default(20),
		/** How long after its reading an order may be accepted. */
		validMs: z.number().int().min(50).max(60_000).default(600),
		/** Silence after which a guardian or successor is considered lost. */
		silenceMs: z.number().int().min(50).max(60_000).default(450),
		/** Interval of the heartbeats between a guardian and its successor. */
		beatMs: z.number().int().min(10).max(10_000).default(150),
		/** How long a successor's readiness lasts, counted from when it was asked. */
		loanMs: z.number().int().min(50).max(60_000).default(600),
		/** Interval at which every server is checked. */
		tickMs: z.number().int().min(5).max(1000).default(40),
		/** Timeout of a call to a backend server. */
		callMs: z.number().int().min(20).max(10_000).default(300),
		/** Source address of calls to backend servers, for a VM that has several addresses. */
		localAddress: z.string().optional(),
	})
	.refine(({renewMs, leaseMs}) => renewMs * 2 <= leaseMs, {
		error: 'at most half of leaseMs',
		path: ['renewMs'],
	})
	.refine(({validMs, leaseMs}) => validMs <= leaseMs, {
		error: 'at most leaseMs',
		path: ['validMs'],
	});

export const ownershipSettings = ownership.prefault({});
