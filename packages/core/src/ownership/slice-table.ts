/**
 * The slice table of one service: the owner, epoch and standby of each slice, and the
 * daemons that guard each owner. It is one object in the platform, so that a single
 * conditional update changes rows and guards together.
 */
import {z} from 'zod';
import {name} from '../config/name.js';

export const sliceRowSchema = z.strictObject({
	/** The backend server that owns the slice; empty before the first assignment. */
	owner: z.string(),
	/** Increases with every change of owner; a request routed with another epoch is refused. */
	epoch: z.number().int().min(0),
	/** The server that owns the slice next if the owner is lost. */
	standby: z.string(),
	/** The target of a planned move that is under way. */
	to: z.string().optional(),
});

export const guardSchema = z.strictObject({
	/** Increases with every change of guardian or successor. */
	term: z.number().int().min(1),
	/** The run of the server that the term is for; empty until the server first answers its guardian. */
	incarnation: z.string(),
	/** The daemon (VM and incarnation) that renews the server's lease; no other may. */
	guardian: z.string(),
	/** The daemon that takes over if the guardian is lost. */
	successor: z.string(),
	/** True from the loss of the server until it answers again; meanwhile it is assigned no slices. */
	lost: z.boolean().optional(),
	/** Daemons of earlier terms that the server is not known to have fenced off. */
	former: z.array(z.string()).readonly().optional(),
	/** The guard that the planner wants next; the guardian hands over at term + 1. */
	next: z
		.strictObject({guardian: z.string(), successor: z.string()})
		.optional(),
});

export const hotKeySchema = z.strictObject({
	/** The key, or an empty string while its row is free. */
	key: z.string(),
	/** True while the key waits to return to its slice. */
	cools: z.boolean().optional(),
});

export const sliceTableSchema = z.strictObject({
	service: name,
	rows: z.array(sliceRowSchema).readonly(),
	/** Keys with rows of their own, in the order of their rows, which are the last of the table. */
	hot: z.array(hotKeySchema).readonly().optional(),
	guards: z.record(z.string(), guardSchema).readonly(),
	/** The daemon that wrote this version; it recognises its own write by this when the answer was lost. */
	writer: z.string(),
});

/** One slice's owner, epoch and standby. */
export type SliceRow = Readonly<z.infer<typeof sliceRowSchema>>;

/** A key that has a row of its own, or is about to get one. */
export type HotKey = Readonly<z.infer<typeof hotKeySchema>>;

/** One backend server's guardian and successor. */
export type Guard = Readonly<z.infer<typeof guardSchema>>;

/** A service's rows, slices first and then hot keys, and its guards by backend server. */
export type SliceTable = Readonly<z.infer<typeof sliceTableSchema>>;
