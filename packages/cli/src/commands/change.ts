/** Writes a change, prints its version and, with --wait, waits until it is in force. */
import {fold, type Kind} from '@kingcuproute/core';
import {Left, Right, type Either} from 'purify-ts';
import {apply, type Change, type ObjectName} from '../apply.js';
import {platformFailure, type Failure} from '../failure.js';
import {waitInForce} from '../in-force.js';
import {type Session} from '../session.js';

/** Options of every command that changes something. */
export type WaitOptions = {
	readonly wait: boolean;
	readonly timeoutMs: number;
};

/** Writes what `newValue` returns for the object; the Right is the accepted version. */
export async function change<K extends Kind>(
	session: Session,
	object: ObjectName<K>,
	newValue: Change<K>,
	wait: WaitOptions,
): Promise<Either<Failure, number>> {
	const written = await apply(session.platform, object, newValue);
	return fold(
		written,
		async (error): Promise<Either<Failure, number>> =>
			Left(platformFailure(error)),
		async ({version}) => printAccepted(session, object, version, wait),
	);
}

/** Prints that a version was accepted and, with --wait, how long it took to be in force everywhere. */
export async function printAccepted(
	session: Session,
	{kind, name}: {readonly kind: Kind; readonly name: string},
	version: number,
	{wait, timeoutMs}: WaitOptions,
): Promise<Either<Failure, number>> {
	const accepted = {kind, name, version};
	if (!wait) {
		session.output.result(
			`${kind} ${name} accepted at version ${version}`,
			accepted,
		);
		return Right(version);
	}

	const waited = await waitInForce(session, version, timeoutMs);
	return waited.map((ms) => {
		const inForceMs = Math.round(ms);
		session.output.result(
			`${kind} ${name} accepted at version ${version}, in force everywhere after ${inForceMs} ms`,
			{...accepted, inForceMs},
		);
		return version;
	});
}
