/** Creates an object, or replaces it at the version just read, so that a concurrent change is a conflict. */
import {
	fold,
	type VersionedObject,
	type Kind,
	type KindValue,
} from '@kingcuproute/core';
import {type Platform, type PlatformError} from '@kingcuproute/platform';
import {Left, type Either} from 'purify-ts';

/**
 * The new value of an object, from its current value, which is undefined if the
 * object does not exist; undefined if the object has to exist already.
 */
export type Change<K extends Kind> = (
	current: KindValue<K> | undefined,
) => KindValue<K> | undefined;

/** An object's kind and name, and the version that a change applies to. */
export type ObjectName<K extends Kind> = {
	readonly kind: K;
	readonly name: string;
	/** The version that the operator looked at; the current one if left out. */
	readonly version?: number;
};

/**
 * Writes the value that `change` returns, by one conditional update. The error is
 * `missing` if the object does not exist and `change` returns undefined for it.
 */
export async function apply<K extends Kind>(
	platform: Platform,
	{kind, name, version}: ObjectName<K>,
	change: Change<K>,
): Promise<Either<PlatformError, VersionedObject<K>>> {
	const read = await platform.get(kind, name);
	return fold(
		read,
		async (error): Promise<Either<PlatformError, VersionedObject<K>>> => {
			const initial = change(undefined);
			return error.kind === 'missing' && version === undefined && initial
				? platform.create(kind, name, initial)
				: Left(error);
		},
		async (current) =>
			platform.update(
				kind,
				name,
				version ?? current.version,
				change(current.value)!,
			),
	);
}
