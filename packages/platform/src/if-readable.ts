/** A field without which the rest is of use: undefined if it is missing or cannot be read. */
import {z} from 'zod';

export function ifReadable<T extends z.ZodType>(schema: T) {
	return schema.optional().or(z.unknown().transform(() => undefined));
}
