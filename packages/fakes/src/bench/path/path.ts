/**
 * What the daemon adds to a request: the same caller asks one stand-in backend
 * server straight and through a daemon, at the same rate, in turns; and what the
 * daemon spends for a request with its routing lines on and off.
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import yargs from 'yargs';
import {Deployment, type RunningDaemon} from '../../deployment/deployment.js';
import {writeResult} from '../result.js';
import {load, type LoadResult} from './load.js';

const seconds = 4;
const clockTicksPerSecond = 100;
const customer = 'tiktak-haus';
const service = 'kaha';
const settleMs = 3000;

type Figures = {
	readonly p50Micros: number;
	readonly p99Micros: number;
	readonly served: number;
	readonly failed: number;
	/** Processor time of the daemon for one request, in µs. */
	readonly cpuMicros?: number;
};

type Plan = {
	/** Requests sent a second, to the server and to each daemon. */
	readonly perSecond: number;
	readonly rounds: number;
};

/** Runs the bench, with `--per-second N` and `--rounds N`. */
export async function run(options: readonly string[]): Promise<void> {
	const plan = await yargs(options)
		.options({
			perSecond: {type: 'number', default: 500},
			rounds: {type: 'number', default: 3},
		})
		.strict()
		.parse();
	const deployment = await Deployment.start();
	try {
		const result = await measure(deployment, plan);
		const path = writeResult('path', result);
		process.stdout.write(
			`${JSON.stringify(result, undefined, '\t')}\n${path}\n`,
		);
	} finally {
		await deployment.stop();
	}
}

async function measure(deployment: Deployment, plan: Plan) {
	const {perSecond, rounds} = plan;
	const {address} = await start(deployment);
	const logged = await deployment.daemon('vm-1', 'fd-b');
	const quiet = await deployment.daemon('vm-2', 'fd-c', {
		log: {routingSample: 1_000_000},
	});
	await warm([logged, quiet], perSecond);
	const straight: Figures[] = [];
	const through: Figures[] = [];
	const silent: Figures[] = [];
	for (let round = 0; round < rounds; round++) {
		straight.push(figuresOf(await ask(address, perSecond)));
		through.push(await askDaemon(logged, perSecond));
		silent.push(await askDaemon(quiet, perSecond));
	}

	return {perSecond, ...summary(straight, through, silent)};
}

function summary(
	straight: readonly Figures[],
	through: readonly Figures[],
	silent: readonly Figures[],
) {
	const p50 = median(straight.map(({p50Micros}) => p50Micros));
	const p99 = median(straight.map(({p99Micros}) => p99Micros));
	const loggedP50 = median(through.map(({p50Micros}) => p50Micros));
	const loggedP99 = median(through.map(({p99Micros}) => p99Micros));
	const cpu = median(through.map(({cpuMicros}) => cpuMicros!));
	const quietCpu = median(silent.map(({cpuMicros}) => cpuMicros!));
	return {
		straight,
		through,
		silent,
		ratioP50: loggedP50 / p50,
		ratioP99: loggedP99 / p99,
		addedP50Micros: loggedP50 - p50,
		addedP99Micros: loggedP99 - p99,
		requestsPerSecondPerCore: 1_000_000 / cpu,
		requestsPerSecondPerCoreQuiet: 1_000_000 / quietCpu,
		logMicrosPerRequest: cpu - quietCpu,
	};
}

async function start(deployment: Deployment) {
	await deployment.createObject('service', service, {
		service,
		slices: 0,
		slots: 64,
		connections: 130,
		checksFence: true,
		deadlineMs: 5000,
		slowStartMs: 0,
	});
	await deployment.createObject('contract', customer, {
		customer,
		services: [service],
		ratePerSecond: 1_000_000,
		burst: 1_000_000,
		concurrency: 100_000,
		weight: 1,
	});
	return deployment.server({
		name: 'kaha-1',
		service,
		failureDomain: 'fd-a',
		keyed: false,
		slots: 64,
	});
}

/** Lets each daemon compile its code: one round that is not counted. */
async function warm(
	daemons: readonly RunningDaemon[],
	perSecond: number,
): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, settleMs);
	});
	for (const {entry} of daemons) {
		await ask(entry, 100, 3);
		await ask(entry, perSecond);
	}
}

async function ask(
	address: string,
	rate: number,
	forSeconds = seconds,
): Promise<LoadResult> {
	return load({
		url: `http://${address}/${service}/status`,
		headers: {'x-customer': customer},
		perSecond: rate,
		seconds: forSeconds,
	});
}

async function askDaemon(
	{entry, child}: RunningDaemon,
	rate: number,
): Promise<Figures> {
	const before = cpuMicrosOf(child.pid);
	const result = await ask(entry, rate);
	const spent = cpuMicrosOf(child.pid) - before;
	return {...figuresOf(result), cpuMicros: spent / result.served};
}

function figuresOf({latency, served, failed}: LoadResult): Figures {
	return {
		p50Micros: latency.getValueAtPercentile(50),
		p99Micros: latency.getValueAtPercentile(99),
		served,
		failed,
	};
}

/** Processor time that a process has spent, all threads, in µs. */
function cpuMicrosOf(pid: number): number {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[11]) + Number(fields[12]);
	return (ticks / clockTicksPerSecond) * 1_000_000;
}

function median(values: readonly number[]): number {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)];
}
