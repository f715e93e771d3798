/** Waits until every live daemon has a version in force. */
import {type Millis} from '@kingcuproute/core';
import {Left, Right, type Either} from 'purify-ts';
import {exitCodes} from './exit-code.js';
import {type Failure} from './failure.js';
import {type Session} from './session.js';

const pollMs: Millis = 100;

type InForce = {
	readonly inForce: boolean;
	readonly lagging: readonly string[];
};

/**
 * Waits until `version` is in force everywhere; the Right is how long that took, in ms.
 * After `timeoutMs` it fails and names the daemons that lag.
 */
export async function waitInForce(
	{daemons, clock}: Session,
	version: number,
	timeoutMs: Millis,
): Promise<Either<Failure, number>> {
	const start = clock.now();
	let message = '';
	while (clock.now() - start < timeoutMs) {
		const answer = await daemons.ask<InForce>(
			`/fleet/in-force?version=${version}`,
		);
		if (answer.isRight()) {
			const {inForce, lagging} = answer.extract();
			if (inForce) {
				return Right(clock.now() - start);
			}

			message = `not in force at ${lagging.join(', ') || 'some daemon'}`;
		} else {
			message = answer
				.swap()
				.map((failure) => failure.message)
				.orDefault('');
		}

		await clock.sleep(pollMs);
	}

	return Left({
		code: exitCodes.notInForce,
		message: `accepted at version ${version}, but after ${timeoutMs} ms ${message}`,
	});
}
