/** What operators have configured for one of the router's own VMs. */
import {z} from 'zod';
import {name} from './name.js';

export const vmSchema = z.strictObject({
	vm: name,
	/** True once an operator has taken it out of service. */
	out: z.boolean().default(false),
	/** The daemon incarnation that an operator has declared permanently gone. */
	gone: z.string().optional(),
});

/** An entry VM as configured by operators. */
export type Vm = z.infer<typeof vmSchema>;
