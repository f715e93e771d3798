/** Parses and validates the JSON bodies of the object API. */
import {
	kindSchemas,
	kinds,
	type VersionedObject,
	type Kind,
} from '@kingcuproute/core';
import {Either} from 'purify-ts';
import {z} from 'zod';
import {type Listing, type UnreadableObject} from './platform.js';

const heldSchema = z.object({
	kind: z.enum(kinds as [Kind, ...Kind[]]),
	name: z.string(),
	version: z.number().int().nonnegative(),
	value: z.unknown().optional(),
});

/** The fields that identify an object, whatever its value is. */
const identitySchema = z.object({
	kind: z.string(),
	name: z.string(),
	version: z.number().int().nonnegative(),
});
const maxMessageLen = 200;

const listingSchema = z.object({
	version: z.number().int().nonnegative(),
	objects: z.array(z.unknown()),
});

const vmsSchema = z.array(
	z.object({
		vm: z.string(),
		failureDomain: z.string(),
		address: z.string(),
		state: z.enum(['live', 'leaving']),
	}),
);

/** Parses one object; throws if it does not match the schema of its kind. */
export function parseHeld(body: unknown): VersionedObject {
	const {value, ...rest} = heldSchema.parse(body);
	return value === undefined || value === null
		? rest
		: {...rest, value: kindSchemas[rest.kind].parse(value)};
}

/** Parses one object; if it does not match the schema of its kind, returns its identity and the error. */
export function tryParseHeld(
	body: unknown,
): Either<UnreadableObject, VersionedObject> {
	return Either.encase(() => parseHeld(body)).mapLeft(({message}) => ({
		...identitySchema.safeParse(body).data,
		message: message.slice(0, maxMessageLen),
	}));
}

/** Parses a listing; objects of unknown kinds are ignored. */
export function parseListing(body: unknown): Listing {
	const {version, objects} = listingSchema.parse(body);
	const parsed = objects
		.filter((object) => !isOfUnknownKind(object))
		.map((object) => tryParseHeld(object));
	return {
		version,
		objects: Either.rights(parsed),
		unreadable: Either.lefts(parsed),
	};
}

function isOfUnknownKind(object: unknown): boolean {
	const {kind} = identitySchema.safeParse(object).data ?? {};
	return kind !== undefined && !kinds.includes(kind as Kind);
}

/** Parses the list of VMs. */
export function parseVms(body: unknown) {
	return vmsSchema.parse(body);
}
