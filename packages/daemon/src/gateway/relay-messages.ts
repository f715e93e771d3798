/** Objects of the store in the form in which daemons send them to each other. */
import {Buffer} from 'node:buffer';
import {type Millis} from '@kingcuproute/core';
import {
	relayStanding,
	type FollowAnswerMessage,
	type KindReadingMessage,
	type RelayedChangeMessage,
} from '@kingcuproute/mesh';
import {
	patchedSpec,
	specDiff,
	type ObjectChange,
	type StoredObject,
} from '@kingcuproute/platform';
import {Either} from 'purify-ts';
import {z} from 'zod';
import {type RecentObjects} from './recent-objects.js';

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
/** The same with diffs, by the revision of the base. */
const diffs = new WeakMap<StoredObject, Map<number, Uint8Array | undefined>>();

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

/** The object as it is sent to a daemon that has it at the revision of `base`, if it has. */
export function messageOf(
	object: StoredObject,
	base?: StoredObject,
): RelayedChangeMessage {
	const {name, revision} = object;
	const diff = base && diffContent(object, base);
	if (diff) {
		return {name, revision, content: diff, base: base.revision};
	}

	let content = contents.get(object);
	if (!content) {
		content = contentOf(object, object.spec);
		contents.set(object, content);
	}

	return {name, revision, content};
}

function diffContent(
	object: StoredObject,
	base: StoredObject,
): Uint8Array | undefined {
	const known = diffs.get(object) ?? new Map<number, Uint8Array | undefined>();
	diffs.set(object, known);
	if (!known.has(base.revision)) {
		const diff = specDiff(base.spec, object.spec);
		const content = diff === undefined ? undefined : contentOf(object, diff);
		known.set(base.revision, content);
	}

	return known.get(base.revision);
}

function contentOf({status, rest}: StoredObject, spec: unknown): Uint8Array {
	return Buffer.from(JSON.stringify({spec, status, rest}));
}

/** The bytes of the objects in some changes. */
export function contentLen(
	changes: ReadonlyArray<Pick<RelayedChangeMessage, 'content'>>,
): number {
	let len = 0;
	for (const {content} of changes) {
		len += content?.length ?? 0;
	}

	return len;
}

/** Reads an answer to a daemon that has `held`; what can't be read makes the whole of it unusable. */
export function readAnswer(
	message: FollowAnswerMessage,
	held: RecentObjects,
): Either<Error, PeerAnswer> {
	return Either.encase(() => ({
		heldMs: ageSchema.parse(message.heldMs ?? 0),
		contactAgeMs: ageSchema.parse(message.contactAgeMs ?? 0),
		unbrokenMs: ageSchema.parse(message.unbrokenMs ?? 0),
		failureAgeMs: ageSchema.parse(message.failureAgeMs ?? Number.MAX_VALUE),
		readings: (message.readings ?? []).map((reading) =>
			readReading(reading, held),
		),
	}));
}

function readReading(
	message: KindReadingMessage,
	held: RecentObjects,
): PeerReading {
	const standing = standings[message.standing ?? relayStanding.CURRENT];
	if (standing === undefined) {
		throw new RangeError(`no standing ${message.standing}`);
	}

	const kind = message.kind ?? '';
	const changes = (message.changes ?? []).map((change) =>
		readChange(change, (name, revision) => held.at(kind, name, revision)),
	);
	const known = changes.filter((change) => change !== undefined);
	return {
		kind,
		// Without the base of a diff the objects have to be listed.
		standing: known.length < changes.length ? 'expired' : standing,
		revision: revisionSchema.parse(message.revision ?? 0),
		contentRevision: revisionSchema.parse(message.contentRevision ?? 0),
		ageMs: ageSchema.parse(message.ageMs ?? 0),
		changedAgeMs: ageSchema.optional().parse(message.changedAgeMs ?? undefined),
		changes: known,
	};
}

/** Undefined if it is a diff to an object that is not held. */
function readChange(
	{name, revision, removed, content, base}: RelayedChangeMessage,
	held: (name: string, revision: number) => StoredObject | undefined,
): ObjectChange | undefined {
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
	const object = {...key, spec, status, rest};
	if (!base) {
		return {object, removed: false};
	}

	const patched = patchedSpec(held(key.name, base)?.spec, spec);
	return patched === undefined
		? undefined
		: {object: {...object, spec: patched}, removed: false};
}
