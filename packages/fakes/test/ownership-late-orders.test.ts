import test from 'ava';
import {type RunningDaemon} from '../src/index.js';
import {Audit} from './ownership/audit.js';
import {Scene, withoutBalancing, type SceneOptions} from './ownership/scene.js';

const slice = 0;
const noticeMs = 1000;
const longLeaseMs = 20_000;

/** The local address of a daemon's connections to servers. */
function addressOf({vm}: RunningDaemon): string {
	return `127.0.0.${11 + Number(vm.slice('vm-'.length))}`;
}

// Each case leaves the server a single reason to refuse the late order: its fence,
// as the order stays valid for 20 s, or the expiry of the order, as the server checks
// no fence.
const cases: ReadonlyArray<readonly [string, SceneOptions]> = [
	['by its fence', {ownership: {leaseMs: longLeaseMs, validMs: longLeaseMs}}],
	['because it has expired', {checksFence: false}],
];

for (const [reason, options] of cases) {
	test.serial(
		`a grant of a paused guardian that arrives after the slice has moved on is refused ${reason}`,
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
			t.teardown(async () => audit.finish());
			link.setFaults({
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
			link.setFaults({});
			const isGrantedAgain = async () => scene.owns(away, slice);
			t.false(await scene.until(isGrantedAgain, noticeMs), 'granted again');
			t.true(await scene.owns(home, slice));
			t.deepEqual(await audit.finish(), []);
		},
	);
}
