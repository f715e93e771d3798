/** Daemons that send requests to the servers of one service, in simulated time, while some servers refuse everything and ask to be left alone. */
import {
	chooseCandidates,
	LeavingServers,
	SeededRandom,
	ServerHolds,
	ServerLoads,
	type DomainCrossing,
	type ListedServer,
	type Millis,
} from '../../src/index.js';
import {aServer} from './a-server.js';

export type FleetPlan = {
	readonly daemons: number;
	readonly servers: number;
	readonly requestsPerS: number;
	readonly workMs: Millis;
	/** How many servers refuse, and for how long from the start. */
	readonly refusing: number;
	readonly refuseMs: Millis;
	readonly lengthMs: Millis;
	/** Whether daemons heed the time that a refusing server asks for. */
	readonly holds: boolean;
	/** Whether retries prefer servers that have answered lately. */
	readonly provenRetries: boolean;
	/** The failure domains of daemons and servers; one if missing. */
	readonly domains?: DomainPlan;
};

export type DomainPlan = {
	/** The share of the requests that arrives in each domain. */
	readonly arrivals: readonly number[];
	/** What daemons charge for sending a request to another domain. */
	readonly chargeMs: Millis;
	readonly targetMs: Millis;
};

export type FleetResult = {
	/** Share of the requests that were answered. */
	readonly answeredShare: number;
	/** Most requests that one daemon sent to one refusing server, later than half a second after its first refusal and before the end that it named. */
	readonly mostRepeated: number;
	/** Requests that were refused although a server was open. */
	readonly refused: number;
	/** 99th percentile of the time to the answer. */
	readonly tailMs: Millis;
	/** Share of the sends that went to another domain. */
	readonly crossedShare: number;
	/** Share of the requests that were answered within the target latency. */
	readonly inTimeShare: number;
};

const oneDomain: DomainPlan = {arrivals: [1], chargeMs: 0, targetMs: Infinity};
const slots = 3;
const queueLen = 6;
const maxAttempts = 2;
const toleratedMs: Millis = 500;

type Event = {readonly at: Millis; readonly run: () => void};

type ModelServer = {
	readonly listed: ListedServer;
	running: number;
	readonly waiting: Array<() => void>;
	readonly refusesUntil: Millis;
};

class Daemon {
	readonly loads: ServerLoads;
	readonly holds = new ServerHolds();
	readonly leaving = new LeavingServers();
	readonly firstRefusal = new Map<string, Millis>();
	readonly repeated = new Map<string, number>();

	constructor(
		random: SeededRandom,
		private readonly provenRetries: boolean,
		readonly crossing: DomainCrossing,
	) {
		this.loads = new ServerLoads(random);
	}

	pick(
		servers: readonly ListedServer[],
		tried: readonly string[],
		now: Millis,
	): ListedServer | undefined {
		const untried = servers.filter(
			({backendServer}) => !tried.includes(backendServer),
		);
		const {leaving, holds} = this;
		const rules = {leaving, holds, leavingMs: 1000};
		return this.loads.choose(
			chooseCandidates(untried, rules, now).servers,
			now,
			this.provenRetries && tried.length > 0,
			this.crossing,
		);
	}

	/** Counts a request that reaches a server which has asked this daemon for a pause. */
	countRepeated(server: string, now: Millis): void {
		const first = this.firstRefusal.get(server);
		if (first !== undefined && now - first > toleratedMs) {
			this.repeated.set(server, (this.repeated.get(server) ?? 0) + 1);
		}
	}
}

/** The domain in which a request arrives. */
function domainFor(arrivals: readonly number[], drawn: number): number {
	let remaining = drawn;
	return Math.max(
		0,
		arrivals.findIndex((share) => {
			remaining -= share;
			return remaining < 0;
		}),
	);
}

/** Plays the plan and returns what callers got. */
export function playFleet(plan: FleetPlan, seed: number): FleetResult {
	const random = new SeededRandom(seed);
	const {arrivals, chargeMs, targetMs} = plan.domains ?? oneDomain;
	const domainOf = (index: number) => `d${index % arrivals.length}`;
	const servers = Array.from({length: plan.servers}, (_, index) => ({
		listed: aServer(`s${index}`, {slots, failureDomain: domainOf(index)}),
		running: 0,
		waiting: [],
		refusesUntil: index < plan.refusing ? plan.refuseMs : 0,
	})) satisfies ModelServer[];
	const byName = new Map<string, ModelServer>(
		servers.map((server) => [server.listed.backendServer, server]),
	);
	const listed = servers.map((server) => server.listed);
	const daemons = Array.from(
		{length: plan.daemons},
		(_, index) =>
			new Daemon(new SeededRandom(seed + index + 1), plan.provenRetries, {
				ownDomain: domainOf(index),
				chargeMs,
			}),
	);
	const events: Event[] = [];
	let now = 0;
	const after = (ms: Millis, run: () => void) => {
		const at = now + ms;
		const index = events.findLastIndex((event) => event.at <= at);
		events.splice(index + 1, 0, {at, run});
	};

	let total = 0;
	let refused = 0;
	let sends = 0;
	let crossed = 0;
	const latencies: Millis[] = [];

	const finish = (server: ModelServer) => {
		server.running--;
		server.waiting.shift()?.();
	};

	const send = (daemon: Daemon, sentAt: Millis, tried: readonly string[]) => {
		const picked = daemon.pick(listed, tried, now);
		if (!picked || tried.length >= maxAttempts) {
			refused++;
			return;
		}

		const name = picked.backendServer;
		const server = byName.get(name)!;
		daemon.loads.sent(name);
		sends++;
		crossed += picked.failureDomain === daemon.crossing.ownDomain ? 0 : 1;
		const decline = () => {
			daemon.loads.ended(name, 'declined', now);
			send(daemon, sentAt, [...tried, name]);
		};

		const leftMs = server.refusesUntil - now;
		if (leftMs > 0) {
			daemon.countRepeated(name, now);
			if (!daemon.firstRefusal.has(name)) {
				daemon.firstRefusal.set(name, now);
			}

			if (plan.holds) {
				daemon.holds.hold(picked, leftMs, now);
			}

			decline();
			return;
		}

		if (server.running >= slots && server.waiting.length >= queueLen) {
			decline();
			return;
		}

		const work = () => {
			server.running++;
			after(plan.workMs, () => {
				const waiting = server.waiting.length;
				daemon.loads.reported(
					name,
					{running: server.running, waiting, slots},
					now,
				);
				daemon.loads.ended(name, 'answered', now);
				latencies.push(now - sentAt);
				finish(server);
			});
		};

		if (server.running < slots) {
			work();
		} else {
			server.waiting.push(work);
		}
	};

	const arrive = () => {
		if (now >= plan.lengthMs) {
			return;
		}

		total++;
		// Daemons alternate between the domains.
		const domain = domainFor(arrivals, random.fraction());
		const perDomain = Math.floor(daemons.length / arrivals.length);
		const daemon = daemons[random.below(perDomain) * arrivals.length + domain];
		send(daemon, now, []);
		after((2 * 1000 * random.fraction()) / plan.requestsPerS, arrive);
	};

	arrive();
	for (let event = events.shift(); event; event = events.shift()) {
		now = event.at;
		event.run();
	}

	const mostRepeated = Math.max(
		0,
		...daemons.flatMap(({repeated}) => [...repeated.values()]),
	);
	const sorted = latencies.toSorted((a, b) => a - b);
	return {
		answeredShare: latencies.length / total,
		mostRepeated,
		refused,
		tailMs: sorted[Math.floor(sorted.length * 0.99)],
		crossedShare: crossed / sends,
		inTimeShare: latencies.filter((ms) => ms <= targetMs).length / total,
	};
}
