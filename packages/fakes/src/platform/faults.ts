/** Faults that the stand-in platform shows on demand. */
import {z} from 'zod';

export const faultsSchema = z.strictObject({
	/** Every call is answered with 503 and every open watch is closed. */
	outage: z.boolean(),
	/** Delay before each call is carried out, in ms. */
	delayMs: z.number().min(0),
	/** Writes take effect, but their connection is closed without an answer. */
	loseAnswers: z.boolean(),
	/** Time until a change to the list of VMs shows, in ms. */
	vmLagMs: z.number().min(0),
});

/** The stand-in's faults in force. */
export type Faults = Readonly<z.infer<typeof faultsSchema>>;

export const noFaults: Faults = {
	outage: false,
	delayMs: 0,
	loseAnswers: false,
	vmLagMs: 500,
};
