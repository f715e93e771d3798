/**
 * Orders, by which a guardian renews a backend server's lease and changes its grants,
 * and the server's answer. Times are readings of the server's own clock, so that an
 * order that arrives late grants nothing.
 */
import {z} from 'zod';

export const grantSchema = z.object({
	slice: z.number().int().min(0),
	epoch: z.number().int().min(1),
});

export const orderSchema = z.object({
	guardian: z.string(),
	/** Orders below the highest (term, rank) accepted are refused: rank 0 is the guardian, 1 its successor. */
	term: z.number().int().min(1),
	rank: z.number().int().min(0).max(1),
	/** The run of the server that the order is for; another run refuses it. */
	incarnation: z.string(),
	/** Increases with every order of one (term, rank); one that is not higher is refused. */
	seq: z.number().int().min(1),
	/** The last reading of the server's clock at which the order may be accepted, in ms. */
	validUntil: z.number(),
	/** When the lease ends, on the server's clock, in ms. */
	leaseEnd: z.number(),
	/** Slices to hold from now on. */
	grant: z.array(grantSchema).readonly(),
	/** Slices to drop before answering. */
	revoke: z.array(z.number().int()).readonly(),
});

export const serverStateSchema = z.object({
	incarnation: z.string(),
	/** The server's clock, in ms. */
	now: z.number(),
	term: z.number().int(),
	rank: z.number().int(),
	leaseEnd: z.number(),
	/** Slices held, whether or not the lease is valid. */
	held: z.array(grantSchema).readonly(),
});

/** A slice granted at an epoch. */
export type Grant = Readonly<z.infer<typeof grantSchema>>;

/** A guardian's order to a backend server. */
export type Order = Readonly<z.infer<typeof orderSchema>>;

/** The lease and grants of a backend server as it reports them with every answer. */
export type ServerState = Readonly<z.infer<typeof serverStateSchema>>;
