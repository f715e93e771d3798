/** A backend server: its address, its service, and whether operators have taken it out of service. */
import {z} from 'zod';
import {name} from './name.js';

export const backendServerSchema = z.strictObject({
	backendServer: name,
	service: name,
	failureDomain: name,
	/** Host and port, such as 127.0.0.1:8080. */
	address: z
		.string()
		.regex(/^[\w.:[\]-]+:\d+$/, 'host:port, as in 127.0.0.1:8080'),
	/** True once an operator has taken it out of service. */
	out: z.boolean().default(false),
});

/** A backend server as configured by operators. */
export type BackendServer = z.infer<typeof backendServerSchema>;
