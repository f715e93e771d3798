/**
 * Chooses, among servers that may have a request, one that is expected to answer it
 * within its target latency, or says what the request would have to wait for. Used where
 * the fleet is large enough and routes state priorities or target latencies.
 */
import {
	admission,
	ExpectedWork,
	PriorityRanks,
	QueueLimits,
	RetryPace,
	type AdmissionAsk,
	type Clock,
	type DomainCrossing,
	type ListedServer,
	type Millis,
	type Random,
	type RoutedService,
	type RouteRule,
	type RouteTable,
	type ServerLoads,
	type ServerRoom,
	type Verdict,
} from '@kingcuproute/core';
import {type Deployment, type ServerLoad} from '@kingcuproute/platform';
import {Left, Right, type Either} from 'purify-ts';
import {type ViewTask} from './view-task.js';

/** A request as admission sees it. */
export type AdmissionRequest = {
	readonly id: string;
	readonly rule: RouteRule;
	readonly ask: AdmissionAsk;
	/** Whether another request that can still be in time waits in this queue. */
	readonly othersInTime: (queue: string) => boolean;
};

/** What was found about the server with the shortest wait, of those that were considered for a request. */
export type Examined = {
	/** Names the queue in which the request may wait. */
	readonly queue: string;
	readonly server: ListedServer;
	readonly room: ServerRoom;
	readonly verdict: Verdict;
	/** How long until the server is expected to have room; 0 if it has. */
	readonly placeMs: Millis;
	/** When the decay of the server's report shows room. */
	readonly roomAt: Millis;
	/** The time between two slots that become free for this daemon. */
	readonly intervalMs: Millis;
	readonly candidates: number;
};

/** What the choice is made from. */
export type AdmissionCandidates = {
	readonly service: RoutedService;
	readonly servers: readonly ListedServer[];
	readonly isRetry: boolean;
	/** What servers of other failure domains are charged. */
	readonly crossing: DomainCrossing;
};

/** When all servers seem full, this many random ones are examined. */
const sampleLen = 16;
/** The load that a server without a report of its own has at least when it declines: its slots and as many waiting requests. */
const declinedLoad = 2;

export class ServerAdmission {
	readonly pace: RetryPace;
	readonly #work = new ExpectedWork();
	readonly #limits = new QueueLimits();
	#ranks = new PriorityRanks([]);
	#routes: RouteTable | undefined;

	constructor(
		private readonly loads: ServerLoads,
		private readonly view: ViewTask,
		private readonly deployment: Deployment,
		private readonly clock: Clock,
		private readonly random: Random,
	) {
		this.pace = new RetryPace(random);
		view.view.subscribe(({servers = [], routes}) => {
			this.#limits.keep(new Set(servers.map((each) => each.backendServer)));
			if (routes !== this.#routes) {
				this.#setRoutes(routes);
			}
		});
	}

	/** Whether requests of the service are admitted by target latency and priority. */
	isActive(service: string): boolean {
		return (
			this.view.view.value.daemons >= this.deployment.admissionDaemons &&
			this.#ranks.isStated(service)
		);
	}

	/** What admission has to know about a request whose caller allows `allowedMs` from `arrivedAt` on. */
	ask(
		rule: RouteRule,
		service: string,
		times: {
			readonly arrivedAt: Millis;
			readonly allowedMs: Millis;
			readonly until: Millis;
			/** The customer's, or else the route's. */
			readonly priority: number;
		},
	): AdmissionAsk {
		const {route, targetMs, timeoutMs} = rule;
		const {arrivedAt, until, priority} = times;
		const allowedMs = Math.min(times.allowedMs, timeoutMs);
		const elapsedMs = this.#work.elapsed(
			{service, route},
			allowedMs,
			this.clock.now(),
		);
		const due = Math.min(until, arrivedAt + targetMs - elapsedMs);
		return {...this.#ranks.of(service, priority), due, until, targetMs};
	}

	/** How long a request of the rule is expected to run at `server`. */
	expectedRun(
		rule: RouteRule,
		service: string,
		{backendServer}: ListedServer,
	): Millis {
		return this.#work.expectedRun(
			{...rule, service},
			this.loads.recentRunTime(backendServer, this.clock.now()),
		);
	}

	/** Right if a server has room. */
	choose(
		request: AdmissionRequest,
		candidates: AdmissionCandidates,
	): Either<Examined, Examined> {
		const {service, servers, isRetry, crossing} = candidates;
		const now = this.clock.now();
		const first = service.keyed
			? undefined
			: this.loads.choose(servers, now, isRetry, crossing);
		const examined = first ? [first] : this.#sample(servers);
		const rooms = examined
			.map((server) => this.#examine(request, candidates, server))
			.toSorted((a, b) => totalMs(a) - totalMs(b));
		const admitted = rooms.find(({verdict}) => verdict.admitted);
		return admitted ? Right(admitted) : Left(rooms[0]);
	}

	/** Records a run from the latency of an answer and the load that came with it. */
	ran(
		service: string,
		rule: RouteRule,
		tookMs: Millis,
		{waiting, slots}: ServerLoad,
	): void {
		this.#work.ran(service, rule.route, tookMs / (1 + waiting / slots));
	}

	/** Records that the server declined a request; `report` is what it said about its load. */
	declined(server: ListedServer, report: ServerLoad | undefined): void {
		const {backendServer, slots} = server;
		if (!this.isActive(server.service)) {
			return;
		}

		const now = this.clock.now();
		if (!report && this.loads.load(server, now) < declinedLoad) {
			const running = slots;
			const waiting = slots * (declinedLoad - 1);
			this.loads.reported(backendServer, {running, waiting, slots}, now);
		}

		this.#limits.declined(backendServer, this.loads.load(server, now), now);
	}

	#setRoutes(routes: RouteTable | undefined): void {
		this.#routes = routes;
		const rules = routes?.config.rules ?? [];
		this.#ranks = new PriorityRanks(rules);
		this.#work.keep(
			rules.flatMap(({route, parts}) =>
				parts.map(({service}) => ({service, route})),
			),
		);
	}

	/** All servers, or a random run of them if they are many. */
	#sample(servers: readonly ListedServer[]): readonly ListedServer[] {
		if (servers.length <= sampleLen) {
			return servers;
		}

		const start = this.random.below(servers.length);
		return Array.from(
			{length: sampleLen},
			(_, index) => servers[(start + index) % servers.length],
		);
	}

	#examine(
		{rule, ask, othersInTime}: AdmissionRequest,
		{service, servers}: AdmissionCandidates,
		server: ListedServer,
	): Examined {
		const now = this.clock.now();
		const {backendServer, slots} = server;
		const queue = queueOf(service, server);
		const runMs = this.expectedRun(rule, service.service, server);
		const serverRunMs = this.loads.recentRunTime(backendServer, now) ?? runMs;
		const room: ServerRoom = {
			load: this.loads.load(server, now),
			waitMs: this.loads.expectedWait(server, serverRunMs, now),
			runMs,
			queueLoad: this.#limits.limit(backendServer, now),
		};
		const verdict = admission(ask, room, now, othersInTime(queue));
		const slotMs = serverRunMs / slots;
		const inFlight = this.loads.inFlight(backendServer);
		// Other daemons take the slots that become free in proportion to their requests there.
		const share = Math.max(1, (room.load * slots) / (inFlight + 1));
		const loadBound = Math.max(
			1,
			Math.min(verdict.maxLoad, 1 + verdict.maxWaitMs / serverRunMs),
		);
		return {
			queue,
			server,
			room,
			verdict,
			placeMs: verdict.admitted
				? 0
				: Math.max(slotMs, (room.load - loadBound) * slots * slotMs),
			roomAt: this.loads.fallsBelow(server, loadBound, now),
			intervalMs: (slotMs * share) / (service.keyed ? 1 : servers.length),
			candidates: servers.length,
		};
	}
}

/** The queue of requests that only `server` may have. */
export function ownerQueue(service: string, server: string): string {
	return `${service}/${server}`;
}

/** The queue in which requests of the service wait if they could go to `server`. */
export function queueOf(
	{service, keyed}: RoutedService,
	{backendServer}: ListedServer,
): string {
	return keyed ? ownerQueue(service, backendServer) : service;
}

function totalMs({room}: Examined): Millis {
	return room.waitMs + room.runMs;
}

/** For the log: whether the server had room, and why. */
export function examinedFields({
	queue,
	server,
	room,
	verdict,
	candidates,
}: Examined): Readonly<Record<string, string | number>> {
	return {
		queue,
		backendServer: server.backendServer,
		load: room.load.toFixed(2),
		maxLoad: verdict.maxLoad.toFixed(2),
		expectedWaitMs: Math.round(room.waitMs),
		maxWaitMs: Math.round(verdict.maxWaitMs),
		runMs: Math.round(room.runMs),
		late: String(verdict.isLate),
		candidates,
	};
}
