/** Parses the bodies of the store's answers. Each belongs to an era of the store, and so do the revisions in it. */
import {revisionIn} from '@kingcuproute/core';
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
/** The part of an object that is needed to continue a list after it. */
const namedSchema = z.object({metadata: z.object({name: z.string()})});
const changesSchema = z.object({
	events: z.array(z.unknown()),
	storeRevision: z.number().int().nonnegative(),
});
const eventSchema = z.object({
	removed: z.unknown(),
	object: z.unknown(),
});

/** One page of a list. */
export type Page = {
	/** As the store sends them. */
	readonly items: readonly unknown[];
	readonly more: boolean;
	readonly revision: number;
	readonly era: number;
};

/** Parses a page; throws if the body is not one. */
export function parsePage(body: unknown, era: number): Page {
	const {items, more = false, storeRevision} = pageSchema.parse(body);
	return {items, more, revision: knownRevision(era, storeRevision), era};
}

/**
 * Parses the answer to a watch; throws if the body holds no events. An object that is
 * no longer readable counts as removed. An event without a readable name is only
 * listed as unreadable.
 */
export function parseChanges(body: unknown, era: number): ObjectChanges {
	const {events, storeRevision} = changesSchema.parse(body);
	const revision = knownRevision(era, storeRevision);
	const changes: ObjectChange[] = [];
	const unreadable: string[] = [];
	for (const event of events) {
		const {object, removed} = eventSchema.safeParse(event).data ?? {};
		const held = parseObject(object, era);
		const name = nameOf(object);
		if (held) {
			changes.push({object: held, removed: removed === true});
		} else {
			unreadable.push(name ?? unknownName);
			if (name !== undefined) {
				changes.push({
					object: removedObject(name, revision),
					removed: true,
				});
			}
		}
	}

	return {revision, changes, unreadable};
}

/** Stands for the name of an object whose name cannot be read. */
export const unknownName = '?';

function removedObject(name: string, revision: number): StoredObject {
	return {name, revision, spec: undefined, status: undefined, rest: {}};
}

/** The object's name, even if the rest of the object is unreadable. */
export function nameOf(body: unknown): string | undefined {
	return namedSchema.safeParse(body).data?.metadata.name;
}

/** Parses an object; undefined if the body is not one. */
export function parseObject(
	body: unknown,
	era: number,
): StoredObject | undefined {
	const parsed = objectSchema.safeParse(body);
	if (!parsed.success) {
		return undefined;
	}

	const {metadata, spec, status, ...rest} = parsed.data;
	const revision = revisionIn(era, metadata.rev);
	return revision === undefined
		? undefined
		: {name: metadata.name, revision, spec, status, rest};
}

function knownRevision(era: number, number: number): number {
	const revision = revisionIn(era, number);
	if (revision === undefined) {
		throw new RangeError(`revision ${number} of era ${era} is out of range`);
	}

	return revision;
}
