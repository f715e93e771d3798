/** A service: a set of backend servers that answer the same requests. */
import {z} from 'zod';
import {name} from './name.js';

const maxSlices = 4096;

export const serviceSchema = z.strictObject({
	service: name,
	/** Number of slices that the keys are divided into; 0 for a service that is not divided by key. */
	slices: z.number().int().min(0).max(maxSlices).default(0),
	/** Requests that one backend server processes concurrently. */
	slots: z.number().int().positive().max(1024),
	/** Connections that one backend server accepts, counted over the whole fleet. */
	connections: z.number().int().positive().max(100_000),
	/** Whether its servers use (term, rank) as a fencing token: they refuse orders below the highest they have accepted. */
	checksFence: z.boolean().default(true),
	/** Deadline of a request whose caller sets none, in ms. */
	deadlineMs: z.number().int().positive().max(600_000).default(5000),
	/** Slow start: the time over which a cold server's share grows to a full one, in ms. */
	slowStartMs: z.number().int().min(0).max(600_000).default(10_000),
	/**
	 * Load that a cold server can take, as a share of its slots over the whole fleet.
	 * A third if absent, and never less than one request.
	 */
	coldShare: z.number().min(0).max(1).optional(),
});

/** A service and the load that its servers can take. */
export type Service = z.infer<typeof serviceSchema>;
