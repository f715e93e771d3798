import test, {type ExecutionContext} from 'ava';
import {initialKeyTable, keyPartCount, partOf} from '@kingcuproute/core';
import {rowOf, startDaemons, type TestDaemon} from './key-keepers.js';

const settledMs = 20_000;
/** Longer than a stopping daemon tries to transfer its parts. */
const stopMs = 5000;
const customerKey = 'tiktak-haus/kaha/0197a1c8-0000-7000-8000-000000000007';

type StopOptions = {
	/** How many transfers of records are lost at first. */
	readonly lostHandOns?: number;
	/** For how long the others still take the stopping daemon for a member. */
	readonly memberMs?: number;
};

/** Stops the holder of a record; returns the verdict of the part's next holder on a resend. */
async function resendAfterStop(
	t: ExecutionContext,
	{lostHandOns = 0, memberMs = 0}: StopOptions,
) {
	const {daemons, clock, wires} = await startDaemons(3, settledMs);
	const part = partOf(customerKey, keyPartCount);
	const stopping = holderOf(customerKey, daemons);
	const claim = {key: customerKey, claimant: 'first', mintedAt: settledMs};
	t.is(stopping.kept.records.claim(claim, 0, settledMs), 'granted');
	const remaining = daemons.filter((daemon) => daemon !== stopping);
	wires.lostHandOns = lostHandOns;
	const stopped = stopping.keyTable.stop();
	await clock.advance(memberMs);
	for (const daemon of remaining) {
		daemon.setMembers(remaining.map(({member}) => member));
	}

	await clock.advance(stopMs);
	await stopped;
	const next = holderOf(customerKey, remaining);
	const resend = {...claim, claimant: 'second'};
	const {since} = rowOf(next, part);
	return next.kept.records.claim(resend, since, clock.now());
}

test('a planned stop loses no records of keys, although their next holder takes none at first', async (t) => {
	t.is(await resendAfterStop(t, {lostHandOns: 3}), 'duplicate');
});

test('a planned stop transfers the records even if that takes longer than a loan', async (t) => {
	t.is(await resendAfterStop(t, {lostHandOns: 60}), 'duplicate');
});

for (const memberMs of [10, 300, 2500]) {
	test(`a planned stop loses no records although others take the stopping daemon for a member for ${memberMs} ms more`, async (t) => {
		t.is(await resendAfterStop(t, {memberMs}), 'duplicate');
	});
}

test('a planned stop loses no records of parts that are just being moved to the daemon that stops', async (t) => {
	const {daemons, clock, wires} = await startDaemons(3, settledMs, 2);
	const [first, second, late] = daemons;
	const claims = keysMovedTo(late, daemons).map((key) => ({
		key,
		claimant: 'first',
		mintedAt: settledMs,
	}));
	t.true(claims.length > 1);
	for (const claim of claims) {
		const {records} = holderOf(claim.key, daemons).kept;
		t.is(records.claim(claim, 0, settledMs), 'granted');
	}

	let stopped: Promise<void> | undefined;
	wires.onHandOn = (address) => {
		if (address === late.member.address) {
			stopped ??= late.keyTable.stop();
		}
	};

	for (const daemon of daemons) {
		daemon.setMembers(daemons.map(({member}) => member));
	}

	await late.keyTable.start();
	await clock.advance(settledMs);
	t.truthy(stopped);
	await stopped;
	const remaining = [first, second];
	for (const daemon of remaining) {
		daemon.setMembers(remaining.map(({member}) => member));
	}

	await clock.advance(stopMs);
	for (const claim of claims) {
		const resend = {...claim, claimant: 'second'};
		const {kept} = holderOf(claim.key, remaining);
		const {since} = rowOf(first, partOf(claim.key, keyPartCount));
		t.is(kept.records.claim(resend, since, clock.now()), 'duplicate');
	}
});

function holderOf(key: string, daemons: readonly TestDaemon[]): TestDaemon {
	const {holder} = rowOf(daemons[0], partOf(key, keyPartCount));
	return daemons.find(({member}) => member.id === holder)!;
}

/** A key of each part that moves to `late` once all `daemons` are members, but for parts whose present holder succeeds it. */
function keysMovedTo(
	late: TestDaemon,
	daemons: readonly TestDaemon[],
): readonly string[] {
	const members = daemons.map(({member}) => member);
	const {rows} = initialKeyTable(keyPartCount, members, 0);
	return rows.flatMap(({holder, successor}, part) =>
		holder === late.member.id && successor !== rowOf(late, part).holder
			? [keyOf(part)]
			: [],
	);
}

/** A key of `part`. */
function keyOf(part: number): string {
	for (let index = 0; ; index++) {
		const key = `tiktak-haus/kaha/${index}`;
		if (partOf(key, keyPartCount) === part) {
			return key;
		}
	}
}

test('parts whose records a new daemon does not take stay with their holders, which grant keys again', async (t) => {
	const {daemons, clock, wires} = await startDaemons(3, settledMs, 2);
	const late = daemons[2];
	wires.lostHandOns = Number.POSITIVE_INFINITY;
	for (const daemon of daemons) {
		daemon.setMembers(daemons.map(({member}) => member));
	}

	await late.keyTable.start();
	const parts = Array.from({length: keyPartCount}, (_, part) => part);
	const samples = 100;
	let granting = 0;
	for (let sample = 0; sample < samples; sample++) {
		await clock.advance(settledMs / samples);
		granting += parts.filter((part) =>
			daemons.some(({keyTable}) => keyTable.mayGrant(part)),
		).length;
	}

	t.true(parts.every((part) => rowOf(late, part).holder !== late.member.id));
	t.true(parts.every((part) => rowOf(late, part).since < settledMs));
	t.true(granting > 0.9 * samples * parts.length, `${granting} grants`);
});
