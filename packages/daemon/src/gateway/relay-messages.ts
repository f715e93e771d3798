/** Objects of the store in the form in which daemons send them to each other. */
import {Buffer} from 'node:buffer';
import {type Millis} from '@kingcuproute/core';
import {
	relayStanding,
	type FollowAnswerMessage,
	type KindReadingMessage,
	type RelayedChangeMessage,
} from '@kingcuproute/mesh';
import {type ObjectChange, type StoredObject} from '@kingcuproute/platform';
import {Either} from 'purify-ts';
import {z} from 'zod';

/** What a peer knows of one kind of object. */
export type PeerReading = {
	readonly kind: string;
	readonly standing: 'current' | 'expired' | 'behind';
	readonly revision: number;
	readonly contentRevision: number;
	/** How long before the answer the store last confirmed the objects. */
	readonly ageMs: Millis;
	/** How long before the answer the first of the changes was made, at the most; undefined if that is not known. */
	readonly changedAgeMs: Millis | undefined;
	readonly changes: readonly ObjectChange[];
};

/** A peer's answer; ages count from the time of the answer. */
export type PeerAnswer = {
	readonly heldMs: Millis;
	readonly contactAgeMs: Millis;
	/** For how long, up to its last contact, the store has answered it without an absence. */
	readonly unbrokenMs: Millis;
	/** Infinity if none of its calls has failed. */
	readonly failureAgeMs: Millis;
	readonly readings: readonly PeerReading[];
};

/** The content of each object as text; sent to many daemons, and made once. */
const contents = new WeakMap<StoredObject, Uint8Array>();

const contentSchema = z.object({
	spec: z.unknown().optional(),
	status: z.unknown().optional(),
	rest: z.record(z.string(), z.unknown()),
});
const revisionSchema = z.number().int().nonnegative();
const ageSchema = z.number().nonnegative();
const standings = {
	[relayStanding.CURRENT]: 'current',
	[relayStanding.EXPIRED]: 'expired',
	[relayStanding.BEHIND]: 'behind',
} as const;

export function messageOf(object: StoredObject): RelayedChangeMessage {
	const {name, revision, spec, status, rest} = object;
	let content = contents.get(object);
	if (!content) {
		content = Buffer.from(JSON.stringify({spec, status, rest}));
		contents.set(object, content);
	}

	return {name, revision, content};
}

/** Reads an answer; what can't be read makes the whole of it unusable. */
export function readAnswer(
	message: FollowAnswerMessage,
): Either<Error, PeerAnswer> {
	return Either.encase(() => ({
		heldMs: ageSchema.parse(message.heldMs ?? 0),
		contactAgeMs: ageSchema.parse(message.contactAgeMs ?? 0),
		unbrokenMs: ageSchema.parse(message.unbrokenMs ?? 0),
		failureAgeMs: ageSchema.parse(message.failureAgeMs ?? Number.MAX_VALUE),
		readings: (message.readings ?? []).map((reading) => readReading(reading)),
	}));
}

function readReading(message: KindReadingMessage): PeerReading {
	const standing = standings[message.standing ?? relayStanding.CURRENT];
	if (standing === undefined) {
		throw new RangeError(`no standing ${message.standing}`);
	}

	return {
		kind: message.kind ?? '',
		standing,
		revision: revisionSchema.parse(message.revision ?? 0),
		contentRevision: revisionSchema.parse(message.contentRevision ?? 0),
		ageMs: ageSchema.parse(message.ageMs ?? 0),
		changedAgeMs: ageSchema.optional().parse(message.changedAgeMs ?? undefined),
		changes: (message.changes ?? []).map((change) => readChange(change)),
	};
}

function readChange({
	name,
	revision,
	removed,
	content,
}: RelayedChangeMessage): ObjectChange {
	const key = {
		name: z.string().min(1).parse(name),
		revision: revisionSchema.parse(revision ?? 0),
	};
	if (removed) {
		const object = {...key, spec: undefined, status: undefined, rest: {}};
		return {object, removed: true};
	}

	const text = Buffer.from(content ?? new Uint8Array()).toString();
	const {spec, status, rest} = contentSchema.parse(JSON.parse(text));
	return {object: {...key, spec, status, rest}, removed: false};
}
