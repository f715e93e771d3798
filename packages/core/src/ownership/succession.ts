/**
 * A change of owners decided without the platform, from standbys that were stored
 * beforehand. It overrides the table until a later term of the server's guard stores
 * the change.
 */
import {z} from 'zod';
import {name} from '../config/name.js';

export const successionSchema = z.strictObject({
	service: name,
	/** The lost backend server. */
	server: name,
	/** The term of the server's guard in which the change was decided. */
	term: z.number().int().min(1),
	/** The new owners; each epoch is that of the table's row plus one. */
	rows: z
		.array(
			z.strictObject({
				slice: z.number().int().min(0),
				owner: z.string(),
				epoch: z.number().int().min(1),
			}),
		)
		.readonly(),
});

/** A change of owners made without the platform; its version in a view is its term. */
export type Succession = Readonly<z.infer<typeof successionSchema>>;
