/**
 * What it costs to choose a server for a request, to find the owner of a key, and to take
 * over a changed list of servers, for services of different sizes side by side. The
 * choice from all servers, as it was before samples, is measured beside it.
 */
import process from 'node:process';
import {
	chooseCandidates,
	LeavingServers,
	SeededRandom,
	ServerHolds,
	ServerIndex,
	ServerLoads,
	type ListedServer,
} from '@kingcuproute/core';
import {writeResult} from '../result.js';

const sizes = [30, 300, 3000];
const sampleSize = 16;
const domains = ['a', 'b', 'c'];
const slots = 3;
const crossing = {ownDomain: 'a', chargeMs: 100};
const warmUpRounds = 2000;
const rounds = 5000;
const repeats = 5;
const microsPerMs = 1000;
const noDomains: ReadonlySet<string> = new Set();

/** Runs the bench; it takes no options. */
export async function run(): Promise<void> {
	const result = sizes.map((size) => measure(size));
	writeResult('choice', result);
	process.stdout.write(`${JSON.stringify(result, undefined, '\t')}\n`);
}

function measure(size: number) {
	const random = new SeededRandom(size);
	const loads = new ServerLoads(random);
	const index = new ServerIndex('a');
	const servers = Array.from({length: size}, (_, id) => aServer(id));
	const rules = {
		leaving: new LeavingServers(),
		holds: new ServerHolds(),
		leavingMs: 1000,
	};
	index.update(servers, noDomains);
	for (const {backendServer} of servers) {
		const occupancy = {running: random.below(4), waiting: 0, slots};
		loads.reported(backendServer, occupancy, 1);
		loads.ran(backendServer, 100 + random.below(200), occupancy, 1);
	}

	const chooseFrom = (candidates: readonly ListedServer[]) => {
		const {servers: open} = chooseCandidates(candidates, rules, 100);
		return loads.choose(open, 100, false, crossing);
	};

	let changed = servers;
	return {
		servers: size,
		chooseMicros: microsOf(rounds, () =>
			chooseFrom(index.sample('s', sampleSize, true, random).servers),
		),
		chooseFromAllMicros: microsOf(rounds / 10, () => chooseFrom(servers)),
		ownerMicros: microsOf(rounds, () =>
			index.owner('s', rangeOf(random.below(size))),
		),
		oneChangeMicros: microsOf(rounds / 10, () => {
			const id = random.below(size);
			changed = changed.with(id, aServer(id));
			index.update(changed, noDomains);
		}),
		allChangeMicros: microsOf(rounds / 100, () => {
			changed = changed.map((_, id) => aServer(id));
			index.update(changed, noDomains);
		}),
	};
}

/** The median over several repeats of the mean time of `act`, in µs. */
function microsOf(count: number, act: () => unknown): number {
	for (let round = 0; round < Math.min(count, warmUpRounds); round++) {
		act();
	}

	const means = Array.from({length: repeats}, () => {
		const startedAt = performance.now();
		for (let round = 0; round < count; round++) {
			act();
		}

		return ((performance.now() - startedAt) * microsPerMs) / count;
	});
	const median = means.toSorted((a, b) => a - b)[Math.floor(repeats / 2)];
	return Math.round(median * 100) / 100;
}

function rangeOf(id: number) {
	return {from: 0, to: 1, owner: `s${id}`, ownerStartedAt: 1, fence: 1};
}

function aServer(id: number): ListedServer {
	return {
		backendServer: `s${id}`,
		startedAt: 1,
		service: 's',
		address: `10.0.0.1:${id}`,
		failureDomain: domains[id % domains.length],
		slots,
		draining: false,
		coldMs: 0,
	};
}
