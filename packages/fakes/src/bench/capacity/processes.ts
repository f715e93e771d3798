/** Fleets of several sizes, as processes: what each daemon uses idle, and while configuration changes. */
import {Deployment, type RunningDaemon} from '../../deployment/deployment.js';
import {usageOf, type Usage} from './usage.js';

const domainCount = 8;
const changesPerSecond = 5;
const settleMs = 8000;

/** Means over the daemons of one fleet. */
export type Row = {
	readonly daemons: number;
	readonly phase: 'idle' | 'changes';
	readonly cpuPercent: number;
	readonly rssMegabytes: number;
	readonly messagesPerSecond: number;
	readonly bytesPerSecond: number;
	readonly busiestCpuPercent: number;
	readonly byPath: string;
};

/** Measures one fleet size for `seconds` in each phase. */
export async function measureFleet(
	daemonCount: number,
	seconds: number,
): Promise<readonly Row[]> {
	const deployment = await Deployment.start();
	try {
		const daemons: RunningDaemon[] = [];
		for (let index = 0; index < daemonCount; index++) {
			const domain = `fd-${index % domainCount}`;
			daemons.push(await deployment.daemon(`vm-${index}`, domain));
		}

		await sleep(settleMs);
		const idle = await phase('idle', daemons, seconds, async () =>
			sleep(seconds * 1000),
		);
		const changes = await phase('changes', daemons, seconds, async () =>
			change(deployment, seconds),
		);
		return [idle, changes];
	} finally {
		await deployment.stop();
	}
}

async function phase(
	name: Row['phase'],
	daemons: readonly RunningDaemon[],
	seconds: number,
	during: () => Promise<void>,
): Promise<Row> {
	const before = await Promise.all(daemons.map(async (each) => usageOf(each)));
	await during();
	const after = await Promise.all(daemons.map(async (each) => usageOf(each)));
	const used = after.map((usage, index) => since(before[index], usage));
	const mean = (read: (usage: Usage) => number) =>
		used.reduce((sum, usage) => sum + read(usage), 0) / used.length;
	return {
		daemons: daemons.length,
		phase: name,
		cpuPercent: mean(({cpuMs}) => cpuMs) / (seconds * 10),
		rssMegabytes: mean(({rssBytes}) => rssBytes) / 2 ** 20,
		messagesPerSecond: mean(({messages}) => messages) / seconds,
		bytesPerSecond: mean(({bytes}) => bytes) / seconds,
		busiestCpuPercent:
			Math.max(...used.map(({cpuMs}) => cpuMs)) / (seconds * 10),
		byPath: [...new Set(used.flatMap(({byPath}) => [...byPath.keys()]))]
			.map((path) => {
				const rate = mean(({byPath}) => byPath.get(path) ?? 0) / seconds;
				return `${path.split('/').at(-1)} ${rate.toFixed(1)}`;
			})
			.join(', '),
	};
}

function since(before: Usage, after: Usage): Usage {
	return {
		cpuMs: after.cpuMs - before.cpuMs,
		rssBytes: after.rssBytes,
		messages: after.messages - before.messages,
		bytes: after.bytes - before.bytes,
		byPath: new Map(
			[...after.byPath].map(([path, value]) => [
				path,
				value - (before.byPath.get(path) ?? 0),
			]),
		),
	};
}

async function change(deployment: Deployment, seconds: number): Promise<void> {
	for (let index = 0; index < seconds * changesPerSecond; index++) {
		await deployment.createObject('vm', `change-${index}`, {
			vm: `change-${index}`,
			out: false,
		});
		await sleep(1000 / changesPerSecond);
	}
}

async function sleep(ms: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, ms);
	});
}
