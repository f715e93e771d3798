/** The bodies of the store's answers, decoded. */
import {z} from 'zod';
import {
	type ObjectChange,
	type ObjectChanges,
	type StoredObject,
} from './object-store.js';

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
/** All that is needed of an object to go on after it. */
const namedSchema = z.object({metadata: z.object({name: z.string()})});
const changesSchema = z.object({
	events: z.array(z.unknown()),
	storeRevision: z.number().int().nonnegative(),
});
const eventSchema = z.object({
	removed: z.unknown(),
	object: z.unknown(),
});

/** A part of a list as the store sends it. */
export type Page = z.infer<typeof pageSchema>;

/** Throws where the body is no page. */
export function parsePage(body: unknown): Page {
	return pageSchema.parse(body);
}

/**
 * Throws where the body holds no events. An object that cannot be read any more is
 * taken for removed; an event that does not name one is passed over.
 */
export function parseChanges(body: unknown): ObjectChanges {
	const {events, storeRevision} = changesSchema.parse(body);
	const changes: ObjectChange[] = [];
	const unreadable: string[] = [];
	for (const event of events) {
		const {object, removed} = eventSchema.safeParse(event).data ?? {};
		const held = parseObject(object);
		const name = nameOf(object);
		if (held) {
			changes.push({object: held, removed: removed === true});
		} else {
			unreadable.push(name ?? namelessObject);
			if (name !== undefined) {
				changes.push({object: blank(name, storeRevision), removed: true});
			}
		}
	}

	return {revision: storeRevision, changes, unreadable};
}

/** Stands for the name of an object whose name cannot be read. */
export const namelessObject = '?';

function blank(name: string, revision: number): StoredObject {
	return {name, revision, spec: undefined, status: undefined, rest: {}};
}

/** The object's name, whether the rest can be read or not. */
export function nameOf(body: unknown): string | undefined {
	return namedSchema.safeParse(body).data?.metadata.name;
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
