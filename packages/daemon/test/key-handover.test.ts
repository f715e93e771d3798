import test, {type ExecutionContext} from 'ava';
import {keyPartCount, partOf} from '@kingcuproute/core';
import {startDaemons, rowOf} from './key-keepers.js';

const settledMs = 20_000;
/** Longer than a stopping daemon tries to transfer its parts. */
const stopMs = 5000;
const customerKey = 'tiktak-haus/kaha/0197a1c8-0000-7000-8000-000000000007';

/**
 * Stops the holder of a record while the first `lostHandOns` transfers of records are lost;
 * returns the verdict of the part's next holder on a resend.
 */
async function resendAfterStop(t: ExecutionContext, lostHandOns: number) {
	const {daemons, clock, wires} = await startDaemons(3, settledMs);
	const part = partOf(customerKey, keyPartCount);
	const stopping = daemons.find(
		(daemon) => rowOf(daemon, part).holder === daemon.member.id,
	)!;
	const claim = {key: customerKey, claimant: 'first', mintedAt: settledMs};
	t.is(stopping.kept.records.claim(claim, 0, settledMs), 'granted');
	const remaining = daemons.filter((daemon) => daemon !== stopping);
	for (const daemon of remaining) {
		daemon.setMembers(remaining.map(({member}) => member));
	}

	wires.lostHandOns = lostHandOns;
	const stopped = stopping.keyTable.stop();
	await clock.advance(stopMs);
	await stopped;
	const next = remaining.find(
		(daemon) => rowOf(daemon, part).holder === daemon.member.id,
	)!;
	const resend = {...claim, claimant: 'second'};
	const {since} = rowOf(next, part);
	return next.kept.records.claim(resend, since, clock.now());
}

test('a planned stop loses no records of keys, although their next holder takes none at first', async (t) => {
	t.is(await resendAfterStop(t, 3), 'duplicate');
});

test('a planned stop transfers the records even if that takes longer than a loan', async (t) => {
	t.is(await resendAfterStop(t, 60), 'duplicate');
});
