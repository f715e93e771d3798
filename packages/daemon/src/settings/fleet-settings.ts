/** Settings for how daemons find and watch each other. Durations are in ms. */
import {z} from 'zod';

export const fleetSettings = z
	.strictObject({
		/** Mesh addresses to contact first, so that a daemon finds its peers while the platform is down. */
		seeds: z.array(z.string()).readonly().default([]),
		/** Interval of the heartbeats that a daemon sends to those it watches. */
		beatMs: z.number().int().min(20).max(10_000).default(120),
		/** Silence after which a daemon is suspected, and others are asked to reach it. */
		silenceMs: z.number().int().min(50).max(60_000).default(280),
		/** Timeout for the others to reach it. */
		probeMs: z.number().int().min(20).max(10_000).default(120),
		/** Interval at which a relay reads the platform's list of VMs. */
		listMs: z.number().int().min(100).max(60_000).default(1000),
	})
	.prefault({});
