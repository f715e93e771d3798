/** The object API's JSON bodies, checked before anything is taken from them. */
import {kindSchemas, kinds, type Held, type Kind} from '@kingcuproute/core';
import {Either} from 'purify-ts';
import {z} from 'zod';
import {type Listing, type UnreadableObject} from './platform.js';

const heldSchema = z.object({
	kind: z.enum(kinds as [Kind, ...Kind[]]),
	name: z.string(),
	version: z.number().int().nonnegative(),
	value: z.unknown().optional(),
});

/** What can be told of an object whatever its value is. */
const partsSchema = z.object({
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

/** Takes one object from JSON; throws when it is not of its kind's schema. */
export function parseHeld(body: unknown): Held {
	const {value, ...rest} = heldSchema.parse(body);
	return value === undefined || value === null
		? rest
		: {...rest, value: kindSchemas[rest.kind].parse(value)};
}

/** One object from JSON, or what is known of one that is not of its kind's schema. */
export function readHeld(body: unknown): Either<UnreadableObject, Held> {
	return Either.encase(() => parseHeld(body)).mapLeft(({message}) => ({
		...partsSchema.safeParse(body).data,
		message: message.slice(0, maxMessageLen),
	}));
}

/** Takes a listing from JSON; objects of kinds unknown here are passed over. */
export function parseListing(body: unknown): Listing {
	const {version, objects} = listingSchema.parse(body);
	const read = objects
		.filter((object) => !isOfUnknownKind(object))
		.map((object) => readHeld(object));
	return {
		version,
		objects: Either.rights(read),
		unreadable: Either.lefts(read),
	};
}

function isOfUnknownKind(object: unknown): boolean {
	const {kind} = partsSchema.safeParse(object).data ?? {};
	return kind !== undefined && !kinds.includes(kind as Kind);
}

/** Takes the list of VMs from JSON. */
export function parseVms(body: unknown) {
	return vmsSchema.parse(body);
}
