import test, {type ExecutionContext} from 'ava';
import {hotRows} from '@kingcuproute/core';
import {Audit} from './ownership/audit.js';
import {keyOf, Scene, servedAgainMs, sleep} from './ownership/scene.js';

const pauseMs = 8;

/** Load is judged after half of this time, and the load of a former hot key fades away after about five times as long. */
const fadeMs = 2000;
const placement = {fadeMs, reportMs: 500};

/** Long enough for counts to fade to a tenth of the share that makes a key hot, and for the table changes to be carried out. */
const changeTimeoutMs = 15 * fadeMs;

/** Requests one key through every daemon, which gives it most of the service's load. */
class KeyLoad {
	answers = 0;
	longestGapMs = 0;
	#isStopped = false;
	readonly #loops: ReadonlyArray<Promise<void>>;

	constructor(
		private readonly scene: Scene,
		private readonly key: string,
	) {
		this.#loops = scene.daemons.map(async (daemon) =>
			this.#requestRepeatedly(daemon),
		);
	}

	async stop(): Promise<void> {
		this.#isStopped = true;
		await Promise.all(this.#loops);
	}

	async #requestRepeatedly(daemon: Scene['daemons'][number]): Promise<void> {
		let last = performance.now();
		while (!this.#isStopped) {
			const isServed = await this.scene.isServed(this.key, daemon);
			const now = performance.now();
			this.longestGapMs = Math.max(this.longestGapMs, now - last);
			if (isServed) {
				this.answers++;
				last = now;
			}

			await sleep(pauseMs);
		}
	}
}

test.serial(
	'a key with most of the load gets a row of its own, is served throughout, and loses the row when another key has the load',
	async (t) => {
		const scene = await Scene.start({placement});
		t.teardown(async () => scene.stop());
		// The audit sends its bookings with other keys of the same slices.
		const [first, second] = [keyOf(0, 'clock'), keyOf(3, 'clock')];
		const audit = new Audit(scene, [first, second]);
		t.teardown(async () => audit.finish());
		await loadUntilHot(t, scene, first, []);
		const row = await hotRowOf(t, scene, first);
		t.is(row, 12);
		await loadUntilHot(t, scene, second, [first]);
		await hotRowOf(t, scene, second);
		t.true(hasLogged(scene, 'hot-key-cooling', first));
		t.deepEqual(await audit.finish(), []);
		t.true(audit.booked > 0);
	},
);

/** Requests the key until it has a row of its own and none of `formerKeys` has one; checks that it is served throughout. */
async function loadUntilHot(
	t: ExecutionContext,
	scene: Scene,
	key: string,
	formerKeys: readonly string[],
): Promise<void> {
	const start = performance.now();
	const load = new KeyLoad(scene, key);
	const hasChanged = await scene.until(async () => {
		const table = await scene.table();
		const hot = table ? hotRows(table) : new Map<string, number>();
		return hot.has(key) && !formerKeys.some((other) => hot.has(other));
	}, changeTimeoutMs);
	const ms = Math.round(performance.now() - start);
	// Leaves time for the moves that the new row made possible.
	await sleep(fadeMs);
	await load.stop();
	const {answers, longestGapMs} = load;
	t.log(`${key}: ${ms} ms, ${answers} answers, ${longestGapMs} ms without`);
	t.true(hasChanged, `${key} has no row, or a former hot key still has one`);
	t.true(answers > 0);
	t.true(longestGapMs < servedAgainMs, `${longestGapMs} ms without an answer`);
}

/** The row of a hot key as the command line shows it; checks that `explain` gives the reason. */
async function hotRowOf(
	t: ExecutionContext,
	{deployment, daemons}: Scene,
	key: string,
): Promise<number> {
	const operators = daemons.flatMap(({operator}) => ['--operator', operator]);
	const run = async (...words: readonly string[]) =>
		deployment.runCli(...operators, ...words);
	const {lines} = await run('owner', 'ticket-desk', key);
	t.regex(lines.join('\n'), /: hot key, row \d+, owner desk-/);
	const explained = await run('explain', key, '--service', 'ticket-desk');
	const text = explained.lines.join('\n');
	t.regex(text, new RegExp(`key=${key} .*event=hot-key-named`));
	t.regex(text, /reason=key-hot/);
	return Number(/row (\d+)/.exec(lines.join('\n'))![1]);
}

function hasLogged({daemons}: Scene, event: string, key: string): boolean {
	return daemons.some(({child}) =>
		child.lines.some(
			(line) => line.includes(`event=${event}`) && line.includes(`key=${key} `),
		),
	);
}
