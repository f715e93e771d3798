/** Settings of an address that a daemon listens on. */
import {z} from 'zod';

export const listener = z.strictObject({
	host: z.string().default('127.0.0.1'),
	/** With 0 the operating system chooses the port. */
	port: z.number().int().min(0).max(65_535),
});
