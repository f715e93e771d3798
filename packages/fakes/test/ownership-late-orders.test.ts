import test from 'ava';
import {type RunningDaemon} from '../src/index.js';
import {Audit} from './ownership/audit.js';
import {Scene, withoutBalancing, type SceneOptions} from './ownership/scene.js';

const slice = 0;
const noticeMs = 1000;
const longMs = 20_000;

/** The address that a daemon's calls to servers leave from. */
function addressOf({vm}: RunningDaemon): string {
	return `127.0.0.${11 + Number(vm.slice('vm-'.length))}`;
}

// Each kind of server has one thing alone that refuses the order: its fence, as the
// order stays valid for long, or the end of the order's life.
const kinds: ReadonlyArray<readonly [string, SceneOptions]> = [
	['by its fence', {ownership: {leaseMs: longMs, validMs: longMs}}],
	['by the end of its life', {checksFence: false}],
];

for (const [how, options] of kinds) {
	test.serial(
		`a grant by a stopped guardian that arrives after the slice has moved on is refused ${how}`,
		async (t) => {
			const scene = await Scene.start({
				hasServerLinks: true,
				placement: withoutBalancing,
				...options,
			});
			t.teardown(async () => scene.stop());
			const {rows, guards} = (await scene.table())!;
			const {owner: home, epoch} = rows[slice];
			const away = [...scene.servers.keys()].find((name) => name !== home)!;
			const guardian = scene.daemonById(guards[away].guardian);
			const link = scene.links.get(away)!;
			const audit = new Audit(scene);
			t.teardown(async () => audit.faults());
			link.fail({
				holdAt: JSON.stringify({slice, epoch: epoch + 1}).slice(1, -1),
				only: addressOf(guardian),
			});
			t.true(await scene.requestMove(slice, away));
			t.true(await scene.until(async () => link.held > 0), 'a grant is held');
			guardian.child.signal('SIGSTOP');
			t.true(await scene.until(async () => scene.owns(away, slice)));
			t.true(await scene.requestMove(slice, home));
			t.true(await scene.until(async () => scene.owns(home, slice)));
			t.is(await scene.epoch(slice), epoch + 2);
			link.fail({});
			const isBack = async () => scene.owns(away, slice);
			t.false(await scene.until(isBack, noticeMs), 'granted again');
			t.true(await scene.owns(home, slice));
			t.deepEqual(await audit.faults(), []);
		},
	);
}
