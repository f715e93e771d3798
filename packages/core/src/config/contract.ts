/**
 * A contract: what one customer may use. Every limit on the customer's traffic
 * is derived from the contract alone.
 */
import {z} from 'zod';
import {name} from './name.js';

export const contractSchema = z.strictObject({
	customer: name,
	/** Services the customer may call. */
	services: z.array(name).min(1).readonly(),
	/** Requests per second over the whole fleet. */
	ratePerSecond: z.number().positive().max(1e9),
	/** Requests that may arrive at once after an idle period. */
	burst: z.number().int().positive().max(1e9),
	/** Requests in flight over the whole fleet. */
	concurrency: z.number().int().positive().max(1e9),
	/** Share of a server that has too little capacity for all, relative to other contracts. */
	weight: z.number().positive().max(1000).default(1),
});

/** A customer's contract; rates are per second, over the fleet. */
export type Contract = z.infer<typeof contractSchema>;
