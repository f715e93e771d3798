/** Converts between the mesh's messages and the values that tasks work with. */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {
	kinds,
	kindSchemas,
	type Account,
	type DomainDigest,
	type VersionedObject,
	type Kind,
	type Member,
} from '@kingcuproute/core';
import {
	type AccountMessage,
	type DomainDigestMessage,
	type ObjectMessage,
	type MemberMessage,
} from '@kingcuproute/mesh';

const minPackedLen = 4096;
const maxValueLen = 4 * 1024 * 1024;
const messageCache = new WeakMap<VersionedObject, ObjectMessage>();

export function memberMessage(member: Member): MemberMessage {
	const {id, vm, failureDomain, address} = member;
	const incarnation = id.slice(vm.length + 1);
	return {vm, incarnation, failureDomain, address};
}

/** Returns undefined for a message that does not identify a daemon. */
export function memberOf(
	message: MemberMessage | null | undefined, // eslint-disable-line @typescript-eslint/no-restricted-types
): Member | undefined {
	const {vm, incarnation, failureDomain, address} = message ?? {};
	return vm && incarnation && failureDomain && address
		? {id: `${vm}.${incarnation}`, vm, failureDomain, address}
		: undefined;
}

export function accountMessage({
	member,
	count,
	out,
	leaving,
}: Account): AccountMessage {
	return {member: memberMessage(member), count, out, leaving};
}

export function accountsOf(
	messages: readonly AccountMessage[] | null | undefined, // eslint-disable-line @typescript-eslint/no-restricted-types
): readonly Account[] {
	return (messages ?? []).flatMap(({member, count, out, leaving}) => {
		const knownMember = memberOf(member);
		const account = {
			count: count ?? 0,
			out: out ?? false,
			leaving: leaving ?? false,
		};
		return knownMember ? [{member: knownMember, ...account}] : [];
	});
}

export function digestsOf(
	messages: readonly DomainDigestMessage[] | null | undefined, // eslint-disable-line @typescript-eslint/no-restricted-types
): readonly DomainDigest[] {
	return (messages ?? []).map(({failureDomain, digest}) => ({
		failureDomain: failureDomain ?? '',
		digest: digest ?? 0,
	}));
}

/** The message for an object; cached, since it is sent to several peers. */
export function objectMessage(object: VersionedObject): ObjectMessage {
	const cached = messageCache.get(object);
	if (cached) {
		return cached;
	}

	const message = encode(object);
	messageCache.set(object, message);
	return message;
}

/** Length of an object as JSON, in bytes. */
export function objectLen(object: VersionedObject): number {
	return JSON.stringify(object).length;
}

/** Length of an object's value as it is sent, in bytes. */
export function messageLen({value, packed}: ObjectMessage): number {
	return (value?.length ?? 0) + (packed?.length ?? 0);
}

function encode({kind, name, version, value}: VersionedObject): ObjectMessage {
	const json = value === undefined ? '' : JSON.stringify(value);
	return json.length < minPackedLen
		? {kind, name, version, value: json}
		: {kind, name, version, packed: deflateRawSync(json)};
}

/** Skips objects of unknown kinds; throws if an object does not match the schema of its kind. */
export function objectsOf(
	messages: readonly ObjectMessage[] | null | undefined, // eslint-disable-line @typescript-eslint/no-restricted-types
): readonly VersionedObject[] {
	return (messages ?? []).flatMap((message) => {
		const kind = message.kind as Kind;
		const {name, version} = message;
		const value = jsonOf(message);
		if (!kinds.includes(kind) || !name || !version) {
			return [];
		}

		const object = {kind, name, version};
		return [
			value
				? {...object, value: kindSchemas[kind].parse(JSON.parse(value))}
				: object,
		];
	});
}

function jsonOf({value, packed}: ObjectMessage): string {
	return packed && packed.length > 0
		? inflateRawSync(packed, {maxOutputLength: maxValueLen}).toString()
		: (value ?? '');
}
