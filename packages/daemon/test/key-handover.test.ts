import test, {type ExecutionContext} from 'ava';
import {keyParts, partOf} from '@kingcuproute/core';
import {keepersOf, rowOf} from './key-keepers.js';

const settledMs = 20_000;
/** Longer than a daemon that stops tries to hand its parts on. */
const stopMs = 5000;
const customerKey = 'tiktak-haus/kaha/0197a1c8-0000-7000-8000-000000000007';

/** Stops the holder of a record; gives what a resend is told by the part's next holder. */
async function resentAfterStop(t: ExecutionContext, lostHandOns: number) {
	const {keepers, clock, wires} = await keepersOf(3, settledMs);
	const part = partOf(customerKey, keyParts);
	const leaver = keepers.find(
		(keeper) => rowOf(keeper, part).holder === keeper.member.id,
	)!;
	const claim = {key: customerKey, claimant: 'first', mintedAt: settledMs};
	t.is(leaver.kept.records.claim(claim, 0, settledMs), 'granted');
	const staying = keepers.filter((keeper) => keeper !== leaver);
	for (const keeper of staying) {
		keeper.meet(staying.map(({member}) => member));
	}

	wires.lostHandOns = lostHandOns;
	const stopped = leaver.keyTable.stop();
	await clock.pass(stopMs);
	await stopped;
	const next = staying.find(
		(keeper) => rowOf(keeper, part).holder === keeper.member.id,
	)!;
	const resent = {...claim, claimant: 'second'};
	const {since} = rowOf(next, part);
	return next.kept.records.claim(resent, since, clock.now());
}

test('a planned stop keeps the records of keys while their next holder takes none', async (t) => {
	t.is(await resentAfterStop(t, 3), 'duplicate');
});

test('records are handed on in a planned stop though that takes longer than a loan', async (t) => {
	t.is(await resentAfterStop(t, 60), 'duplicate');
});
