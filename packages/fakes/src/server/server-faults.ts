/** The ways in which a stand-in backend server misbehaves on demand. */
import {z} from 'zod';

export const serverFaultsSchema = z.strictObject({
	/** How long a request takes, in ms. */
	workMs: z.number().min(0),
	/** What is wrong with answers. */
	answer: z.enum([
		'whole',
		/** Half of the body, then the connection is closed. */
		'truncated',
		/** The same in chunks, without the last one. */
		'truncated-chunks',
		/** Neither length nor chunks: the end of the connection is the only end. */
		'endless',
		'wrong-id',
		'no-id',
		/** The same answer twice. */
		'doubled',
		/** A body of `answerLen` bytes, as fast as it is taken. */
		'long',
		/** The server acts on the request and never answers. */
		'none',
	]),
	/** Bytes of a long answer. */
	answerLen: z.number().int().min(0),
	/** The process ends as soon as it has acted on a request whose path holds this; empty for never. */
	crashOn: z.string(),
	/** Connections open now swallow what comes; new ones work. */
	silenceOpen: z.boolean(),
	/** Cold and draining servers say so; a cold one bears `coldSlots` requests at once. */
	state: z.enum(['ready', 'cold', 'draining']),
	coldSlots: z.number().int().min(0),
	/** Declines every request, as not run. */
	shed: z.boolean(),
	/** Writes a refusal once more as soon as the request that it answered comes again. */
	repeatRefusal: z.boolean(),
});

/** The stand-in's present faults. */
export type ServerFaults = Readonly<z.infer<typeof serverFaultsSchema>>;

export const noServerFaults: ServerFaults = {
	workMs: 1,
	answer: 'whole',
	answerLen: 0,
	crashOn: '',
	silenceOpen: false,
	state: 'ready',
	coldSlots: 1,
	shed: false,
	repeatRefusal: false,
};
