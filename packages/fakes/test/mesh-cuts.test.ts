import test, {type ExecutionContext} from 'ava';
import {Audit} from './ownership/audit.js';
import {type Cut} from './ownership/mesh-links.js';
import {keyOf, Scene, servedAgainMs, slices} from './ownership/scene.js';

const cutMs = 4000;
const afterCutMs = 3000;

type Pair = {readonly guardian: string; readonly successor: string};

const directions: ReadonlyArray<
	readonly [direction: string, cutsOf: (pair: Pair) => readonly Cut[]]
> = [
	[
		'from the guardian to the successor',
		({guardian, successor}) => [[guardian, successor]],
	],
	[
		'from the successor to the guardian',
		({guardian, successor}) => [[successor, guardian]],
	],
	[
		'in both directions',
		({guardian, successor}) => [
			[guardian, successor],
			[successor, guardian],
		],
	],
];

async function start(t: ExecutionContext) {
	const scene = await Scene.start({hasMeshLinks: true});
	t.teardown(async () => scene.stop());
	return scene;
}

for (const [direction, cutsOf] of directions) {
	test.serial(
		`a slice has one owner throughout when guardian and successor are cut off from each other ${direction}`,
		async (t) => {
			const scene = await start(t);
			const {guardian, successor, server, guard} = await scene.pickServer();
			const [caller] = scene.daemonsExcept(guardian, successor);
			const audit = new Audit(scene);
			t.teardown(async () => audit.finish());
			const longestGapMs = async (ms: number) => {
				const gaps = Array.from({length: slices}, async (_, slice) =>
					scene.longestGapMs(keyOf(slice), caller, ms),
				);
				return Math.max(...(await Promise.all(gaps)));
			};

			scene.mesh.cut(
				...cutsOf({guardian: guardian.vm, successor: successor.vm}),
			);
			const duringMs = await longestGapMs(cutMs);
			const next = await scene.guard(server.name);
			scene.mesh.cut();
			const afterwardsMs = await longestGapMs(afterCutMs);
			t.log(
				`longest time without an answer ${Math.round(duringMs)} ms, after the cut ${Math.round(afterwardsMs)} ms`,
			);
			t.true(next.term > guard.term, 'the cut was noticed');
			t.true(Math.max(duringMs, afterwardsMs) < servedAgainMs);
			t.deepEqual(await audit.finish(), []);
			t.true(audit.booked > 0);
		},
	);
}
