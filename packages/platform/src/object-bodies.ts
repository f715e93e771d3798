/** The bodies of the store's answers, decoded. */
import {z} from 'zod';
import {type ObjectChanges, type StoredObject} from './object-store.js';

const objectSchema = z.looseObject({
	metadata: z.looseObject({
		name: z.string(),
		rev: z.number().int().nonnegative(),
	}),
	spec: z.unknown().optional(),
	status: z.unknown().optional(),
});
const pageSchema = z.object({
	items: z.array(z.unknown()),
	more: z.boolean().optional(),
	storeRevision: z.number().int().nonnegative(),
});
const changesSchema = z.object({
	events: z.array(
		z.object({removed: z.boolean().optional(), object: z.unknown()}),
	),
	storeRevision: z.number().int().nonnegative(),
});

/** A part of a list as the store sends it. */
export type Page = z.infer<typeof pageSchema>;

/** Throws where the body is no page. */
export function parsePage(body: unknown): Page {
	return pageSchema.parse(body);
}

/** Throws where the body holds no events; an event without an object is passed over. */
export function parseChanges(body: unknown): ObjectChanges {
	const {events, storeRevision} = changesSchema.parse(body);
	const changes = events.flatMap(({object, removed = false}) => {
		const held = parseObject(object);
		return held ? [{object: held, removed}] : [];
	});
	return {revision: storeRevision, changes};
}

/** The object in the body; undefined where there is none. */
export function parseObject(body: unknown): StoredObject | undefined {
	const parsed = objectSchema.safeParse(body);
	if (!parsed.success) {
		return undefined;
	}

	const {metadata, spec, status, ...rest} = parsed.data;
	return {name: metadata.name, revision: metadata.rev, spec, status, rest};
}
