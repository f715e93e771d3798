import 'reflect-metadata';
import test from 'ava';
import {type ObjectError} from '@kingcuproute/platform';
import {Left, Right, type Either} from 'purify-ts';
import {StoreContact} from '../src/gateway/store-contact.js';
import {ManualClock} from './timers.js';

const error = (kind: 'refused' | 'unknown'): ObjectError => ({
	kind,
	message: 'failing',
});

/** When the contact last failed, after a call that took `tookMs` and had this outcome. */
async function lastFailureAfter(
	outcome: Either<ObjectError, unknown>,
	tookMs: number,
	outdatedMs?: number,
): Promise<number> {
	const clock = new ManualClock();
	const contact = new StoreContact(clock, {serverReportMs: 870});
	const call = async () => {
		await clock.sleep(tookMs);
		return outcome;
	};

	const observed = contact.observe(call(), outdatedMs);
	await clock.advance(tookMs);
	await observed;
	return contact.lastFailureAt;
}

test('a call that is refused or not answered shows that the store may be cut off', async (t) => {
	t.is(await lastFailureAfter(Left(error('refused')), 10), 10);
	t.is(await lastFailureAfter(Left(error('unknown')), 1500), 1500);
});

test('an answer of the store, also that an object is missing or has changed, shows that it is reached', async (t) => {
	const answers: ReadonlyArray<Either<ObjectError, unknown>> = [
		Right(1),
		Left({kind: 'missing'}),
		Left({kind: 'expired'}),
		Left({kind: 'conflict', held: undefined}),
	];
	for (const answer of answers) {
		t.is(await lastFailureAfter(answer, 10), -Infinity);
	}
});

test('the failure of a long poll that began long ago says nothing of the store now', async (t) => {
	const failed = Left(error('unknown'));
	t.is(await lastFailureAfter(failed, 16_000, 15_000), -Infinity);
	t.is(await lastFailureAfter(failed, 4000, 15_000), 4000);
});
