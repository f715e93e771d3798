import test from 'ava';
import {Audit} from './ownership/audit.js';
import {keyOf, Scene, servedAgainMs, sleep} from './ownership/scene.js';

const rounds = 3;
const sampledSlices = [0, 1, 2, 3, 4, 5];
const settleMs = 3000;
const conflictExitCode = 3;

test.serial(
	'operators who change a server, its domain and a contract at the same time leave one owner and no mixed contract',
	async (t) => {
		const scene = await Scene.start();
		t.teardown(async () => scene.stop());
		const {deployment} = scene;
		const {server} = await scene.pickServer();
		const {failureDomain} = server;
		const audit = new Audit(scene);
		t.teardown(async () => audit.finish());
		const [low, high] = [1000, 2000].map((rate) => {
			const contract = {
				customer: 'tiktak-haus',
				services: ['ticket-desk'],
				ratePerSecond: rate,
				burst: rate,
				concurrency: 100,
				weight: 1,
			};
			return deployment.writeJsonFile(`contract-${rate}.json`, contract);
		});
		for (let round = 0; round < rounds; round++) {
			const results = await Promise.all([
				deployment.runCli('backend-server', 'out', server.name),
				deployment.runCli('backend-server', 'in', server.name),
				deployment.runCli('domain', round % 2 ? 'in' : 'out', failureDomain),
				deployment.runCli('contract', 'apply', low),
				deployment.runCli('contract', 'apply', high),
			]);
			for (const {code, errorLines} of results) {
				t.true(
					[0, conflictExitCode].includes(code),
					`error lines: ${errorLines.join(',')}`,
				);
			}
		}

		const restored = [
			await deployment.runCli('backend-server', 'in', server.name),
			await deployment.runCli('domain', 'in', failureDomain),
		];
		t.deepEqual(
			restored.map(({code}) => code),
			[0, 0],
		);
		await sleep(settleMs);
		for (const daemon of scene.daemons) {
			for (const slice of sampledSlices) {
				const ms = await scene.msUntilServed(keyOf(slice), daemon);
				t.true(ms < servedAgainMs, `slice ${slice} through ${daemon.vm}`);
			}
		}

		const stored = await deployment.objects.get('contract', 'tiktak-haus');
		const {ratePerSecond, burst} = stored.unsafeCoerce().value!;
		t.is(ratePerSecond, burst);
		t.deepEqual(await audit.finish(), []);
		t.true(audit.booked > 0);
	},
);
