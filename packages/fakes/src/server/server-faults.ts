/** Faults that a stand-in backend server shows on demand. */
import {z} from 'zod';

export const serverFaultsSchema = z.strictObject({
	/** How long a request takes, in ms. */
	workMs: z.number().min(0),
	/** The fault of answers. */
	answer: z.enum([
		'whole',
		/** Half of the body is sent, then the connection is closed. */
		'truncated',
		/** The same with chunked encoding, without the final chunk. */
		'truncated-chunks',
		/** No length and no chunked encoding: only the end of the connection ends the body. */
		'endless',
		'wrong-id',
		'no-id',
		/** The answer is sent twice. */
		'doubled',
		/** A body of `answerLen` bytes, sent as fast as the peer reads. */
		'long',
		/** The server runs the request and never answers. */
		'none',
	]),
	/** Length of a long answer, in bytes. */
	answerLen: z.number().int().min(0),
	/** The process kills itself once it has run a request whose path contains this text; never if empty. */
	crashOn: z.string(),
	/** Requests on connections that are open now get no answer; new connections work. */
	silenceOpen: z.boolean(),
	/** The state that the server reports; a cold server runs at most `coldSlots` requests at once. */
	state: z.enum(['ready', 'cold', 'draining']),
	coldSlots: z.number().int().min(0),
	/** Every request is declined as not run. */
	shed: z.boolean(),
	/** When a declined request comes again, the server repeats its refusal on the connection that carried it. */
	repeatRefusal: z.boolean(),
});

/** The stand-in's faults in force. */
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
