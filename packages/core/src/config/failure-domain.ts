/** A failure domain: machines that fail, are taken out of service and come back together. */
import {z} from 'zod';
import {name} from './name.js';

export const failureDomainSchema = z.strictObject({
	failureDomain: name,
	region: name.default('main'),
	/** True once an operator has taken it out of service. */
	out: z.boolean().default(false),
});

/** A failure domain as configured by operators. */
export type FailureDomain = z.infer<typeof failureDomainSchema>;
