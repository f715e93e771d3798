import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {fleet} from './gateway-keepers.js';
import {
	first,
	stories,
	Troubles,
	vms,
	type Trouble,
} from './gateway-troubles.js';

const runs = Number(process.env.RUNS ?? 40);
/** After which each key has a holder again, once no trouble lasts. */
const settleMs = 25_000;
const keyCount = 65_536;

/** Plays a story and tells what was wrong first. */
async function wrongIn(story: readonly Trouble[]): Promise<string | undefined> {
	const played = fleet(vms, first);
	const {orders, pass} = played;
	const troubles = new Troubles(played);
	let wrong: string | undefined;
	const check = () => {
		wrong ??= orders.doubled() ?? orders.lowFences[0];
	};

	for (const {at, act} of turnsOf(story, troubles)) {
		await pass(at - played.timers.now(), check);
		act();
	}

	await pass(settleMs, check);
	const held = orders.heldCount();
	return wrong ?? (held === keyCount ? undefined : `${held} keys are held`);
}

/** When troubles begin and end, in the order of time. */
function turnsOf(story: readonly Trouble[], troubles: Troubles) {
	let at = 1500;
	const turns = story.flatMap((trouble) => {
		at += trouble.afterMs;
		return [
			{
				at,
				act() {
					troubles.begin(trouble);
				},
			},
			{
				at: at + trouble.forMs,
				act() {
					troubles.end(trouble);
				},
			},
		];
	});
	return turns.sort((a, b) => a.at - b.at);
}

test('no key ever has two holders, and each has one once troubles end', async (t) => {
	const property = fc.asyncProperty(stories, async (story) => {
		const wrong = await wrongIn(story);
		if (wrong !== undefined) {
			throw new Error(wrong);
		}
	});
	await fc.assert(property, {numRuns: runs, includeErrorInReport: true});
	t.pass();
});
