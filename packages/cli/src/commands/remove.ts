/** Deletes one object, at the version that the operator looked at or the current one. */
import {fold, type Kind} from '@kingcuproute/core';
import {Left, type Either} from 'purify-ts';
import {platformFailure, type Failure} from '../failure.js';
import {type Session} from '../session.js';
import {printAccepted, type WaitOptions} from './change.js';

/** Deletes the object and prints the version; the Right is the version of the deletion. */
export async function remove(
	session: Session,
	object: {readonly kind: Kind; readonly name: string},
	argv: WaitOptions & {readonly version?: number},
): Promise<Either<Failure, number>> {
	const {kind, name} = object;
	const read = await session.platform.get(kind, name);
	const deleted = await fold(
		read,
		async (error) => Left(error),
		async ({version}) =>
			session.platform.delete(kind, name, argv.version ?? version),
	);
	return fold(
		deleted,
		async (error): Promise<Either<Failure, number>> =>
			Left(platformFailure(error)),
		async ({version}) => printAccepted(session, object, version, argv),
	);
}
