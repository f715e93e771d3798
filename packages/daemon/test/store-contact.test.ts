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

/** When the store is taken to have returned, by a daemon that hears at 1 s and at 5 s of answers that its peer had from `since` on. */
function returnAfterPause(since: number): number {
	const contact = new StoreContact(new ManualClock(), {serverReportMs: 870});
	contact.heardOf({answeredAt: 1000, failedAt: -Infinity, since: 0});
	contact.heardOf({answeredAt: 5000, failedAt: -Infinity, since});
	return contact.absence.returnedAt;
}

test('a pause in which a daemon heard nothing is no absence of the store if the store answered its peer meanwhile', (t) => {
	t.is(returnAfterPause(0), -Infinity);
	t.is(returnAfterPause(2000), -Infinity, 'shorter than entries last');
	t.is(returnAfterPause(4800), 4800);
});
