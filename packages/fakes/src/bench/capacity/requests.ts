/** What a request costs one daemon in processor time, with a log line for each decision. */
import {request} from 'undici';
import {Deployment} from '../../deployment/deployment.js';
import {usageOf} from './usage.js';

const concurrency = 16;
const warmUp = 2000;

/** Processor time of a daemon over a number of requests. */
export type RequestRow = {
	readonly requests: number;
	readonly cpuMs: number;
	readonly seconds: number;
};

/** Sends each number of requests in turn through one daemon to one backend server. */
export async function measureRequests(
	counts: readonly number[],
): Promise<readonly RequestRow[]> {
	const deployment = await Deployment.start();
	try {
		await deployment.createObject('service', 'kaha', {
			service: 'kaha',
			slices: 0,
			slots: 64,
			connections: 130,
			checksFence: true,
			deadlineMs: 5000,
			slowStartMs: 0,
		});
		await deployment.createObject('contract', 'tiktak-haus', {
			customer: 'tiktak-haus',
			services: ['kaha'],
			ratePerSecond: 1e6,
			burst: 1e6,
			concurrency: 1e6,
			weight: 1,
		});
		await deployment.server({
			name: 'kaha-1',
			service: 'kaha',
			failureDomain: 'fd-a',
			keyed: false,
			slots: 64,
		});
		const daemon = await deployment.daemon('vm-1', 'fd-a');
		await send(daemon.entry, warmUp);
		const rows: RequestRow[] = [];
		for (const count of counts) {
			const before = await usageOf(daemon);
			const start = performance.now();
			await send(daemon.entry, count);
			const seconds = (performance.now() - start) / 1000;
			const after = await usageOf(daemon);
			const cpuMs = after.cpuMs - before.cpuMs;
			rows.push({requests: count, cpuMs, seconds});
		}

		return rows;
	} finally {
		await deployment.stop();
	}
}

async function send(entry: string, count: number): Promise<void> {
	const lane = async () => {
		for (let index = 0; index < count / concurrency; index++) {
			const res = await request(`http://${entry}/kaha/piece`, {
				headers: {'x-customer': 'tiktak-haus'},
			});
			await res.body.dump();
		}
	};

	await Promise.all(Array.from({length: concurrency}, lane));
}
