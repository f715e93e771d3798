/**
 * Chooses servers for the requests of one service on one daemon, and queues requests
 * while no server has room. Apart from its own state it has no side effects: it reads
 * no clock, sets no timer, and returns its decisions for the caller to carry out.
 */
import {type BackendServer} from '../config/backend-server.js';
import {type Service} from '../config/service.js';
import {type Refusal} from '../requests/refusal.js';
import {type Millis} from '../time/clock.js';
import {allowance, paceMs, type ServerView} from './allowance.js';
import {type PoolRequest} from './pool-request.js';
import {type Balancer, type Candidate} from './balancer.js';
import {FairQueue, type QueueItem} from './fair-queue.js';
import {type Gauges} from './gauges.js';
import {type Outcome} from './outcome.js';
import {type BalancePolicy} from './policy.js';

/** The result for one request; `mark` identifies the request to the caller. */
export type Decision<T> =
	| {readonly kind: 'picked'; readonly mark: T; readonly server: BackendServer}
	| {readonly kind: 'refused'; readonly mark: T; readonly refusal: Refusal};

type QueuedRequest<T> = QueueItem & {
	readonly request: PoolRequest;
	readonly mark: T;
};

/** `retryAfterMs` of a request refused because servers have no room. */
const overloadedRetryMs: Millis = 250;

export class Pool<T> {
	readonly #queues = new Map<string, FairQueue<QueuedRequest<T>>>();
	#service: Service | undefined;

	constructor(
		readonly gauges: Gauges,
		private readonly balancer: Balancer,
		private readonly policy: BalancePolicy,
	) {}

	/** Number of requests that wait for a server. */
	get waiting(): number {
		let sum = 0;
		for (const {length} of this.#queues.values()) {
			sum += length;
		}

		return sum;
	}

	/** Adds a request; the decision on it is returned now or by a later call. */
	submit(
		request: PoolRequest,
		mark: T,
		now: Millis,
	): ReadonlyArray<Decision<T>> {
		this.#service = request.service;
		if (request.candidates.length === 0) {
			return [{kind: 'refused', mark, refusal: noServer(request)}];
		}

		const queue = this.#queueOf(request);
		if (queue.length === 0) {
			const server = this.#choose(request, now);
			if (server) {
				return [{kind: 'picked', mark, server}];
			}
		}

		const {customer, weight, cost = 1, deadlineAt} = request;
		const startBy = deadlineAt - this.#minBaselineMs(request);
		if (startBy < now) {
			return [{kind: 'refused', mark, refusal: tooLate(request)}];
		}

		const evicted = queue.push({
			customer,
			weight,
			cost,
			startBy,
			request,
			mark,
		});
		return evicted ? [refused(evicted, overloaded(evicted.request))] : [];
	}

	/** Records how a request ended; queued requests may start now. */
	done(
		server: string,
		outcome: Outcome,
		now: Millis,
	): ReadonlyArray<Decision<T>> {
		this.gauges.recordEnd(server, outcome, now);
		return this.tick(now);
	}

	/**
	 * Starts the queued requests that can start, and refuses those that can't start in
	 * time any more. Must be called every few ms while requests wait.
	 */
	tick(now: Millis): ReadonlyArray<Decision<T>> {
		if (this.#service) {
			this.gauges.endFinishedRamps(this.#service, now);
		}

		const decisions: Array<Decision<T>> = [];
		for (const [name, queue] of this.#queues) {
			for (const expired of queue.expire(now)) {
				decisions.push(refused(expired, tooLate(expired.request)));
			}

			decisions.push(...this.#startQueued(queue, now));
			if (queue.length === 0) {
				this.#queues.delete(name);
			}
		}

		return decisions;
	}

	#startQueued(
		queue: FairQueue<QueuedRequest<T>>,
		now: Millis,
	): Array<Decision<T>> {
		const decisions: Array<Decision<T>> = [];
		for (const queued of queue.inOrder()) {
			const server = this.#choose(queued.request, now);
			if (!server) {
				break;
			}

			queue.take(queued);
			decisions.push({kind: 'picked', mark: queued.mark, server});
		}

		return decisions;
	}

	#choose(request: PoolRequest, now: Millis): BackendServer | undefined {
		const eligible = this.#eligible(request, now);
		if (eligible.length === 0) {
			return undefined;
		}

		const {server} =
			this.#probeTarget(eligible, now) ?? this.balancer.choose(eligible, now);
		const {backendServer} = server;
		const view = this.#serverView(request, backendServer);
		const nextSendAt = request.keyed ? now + paceMs(view, now, this.policy) : 0;
		this.gauges.recordSend(backendServer, now, nextSendAt);
		return server;
	}

	/**
	 * A server that looks cold and got no request for `probeMs`, if any. Only its answers
	 * can show that it has recovered.
	 */
	#probeTarget(
		eligible: readonly Candidate[],
		now: Millis,
	): Candidate | undefined {
		const {probeMs} = this.policy;
		return eligible.find(
			({gauge: {looksCold, sentAt}}) => looksCold && now - sentAt >= probeMs,
		);
	}

	/** Servers that may take the request now; for a retry, only the preferred ones. */
	#eligible(request: PoolRequest, now: Millis): readonly Candidate[] {
		const withRoom = request.candidates
			.map((server) => ({server, gauge: this.gauges.get(server.backendServer)}))
			.filter((candidate) => this.#hasRoom(request, candidate, now));
		if (request.keyed) {
			return withRoom;
		}

		const healthy = withRoom.filter(
			({gauge}) =>
				gauge.ejectedUntil <= now && gauge.drainingSince === undefined,
		);
		return preferUntried(healthy, request.avoid ?? []);
	}

	/** Whether this daemon may send the server one more request now. */
	#hasRoom(
		request: PoolRequest,
		{server, gauge}: Candidate,
		now: Millis,
	): boolean {
		if (!request.keyed && !this.gauges.isLive(server.backendServer)) {
			return false;
		}

		const view = this.#serverView(request, server.backendServer);
		if (request.keyed && paceMs(view, now, this.policy) > 0) {
			return gauge.inFlight === 0 && now >= gauge.nextSendAt;
		}

		return gauge.inFlight < allowance(view, now, this.policy);
	}

	#serverView({service}: PoolRequest, server: string): ServerView {
		const gauge = this.gauges.get(server);
		return {gauge, service, callerRank: this.gauges.callerRank(server)};
	}

	/** Baseline latency of the fastest candidate; 0 if one of them has not answered yet. */
	#minBaselineMs(request: PoolRequest): Millis {
		const baselines = request.candidates.map(
			({backendServer}) => this.gauges.get(backendServer).baselineMs,
		);
		return Math.min(...baselines);
	}

	/** The queue of the request: one for each owner, and one for all requests without a key. */
	#queueOf({keyed, candidates}: PoolRequest): FairQueue<QueuedRequest<T>> {
		const name = keyed ? candidates[0].backendServer : '';
		let queue = this.#queues.get(name);
		if (!queue) {
			queue = new FairQueue(this.policy.maxQueueLen);
			this.#queues.set(name, queue);
		}

		return queue;
	}
}

/** Untried candidates in failure domains not tried yet; else all untried candidates; else all. */
function preferUntried(
	candidates: readonly Candidate[],
	avoid: readonly string[],
): readonly Candidate[] {
	if (avoid.length === 0) {
		return candidates;
	}

	const tried = new Set(avoid);
	const untried = candidates.filter(
		({server}) => !tried.has(server.backendServer),
	);
	const triedDomains = new Set(
		candidates
			.filter(({server}) => tried.has(server.backendServer))
			.map(({server}) => server.failureDomain),
	);
	const otherDomains = untried.filter(
		({server}) => !triedDomains.has(server.failureDomain),
	);
	return [otherDomains, untried].find(({length}) => length > 0) ?? candidates;
}

function refused<T>({mark}: QueuedRequest<T>, refusal: Refusal): Decision<T> {
	return {kind: 'refused', mark, refusal};
}

function noServer({service}: PoolRequest): Refusal {
	return {
		reason: 'no-server',
		ran: 'not-run',
		retryAfterMs: 1000,
		message: `no backend server of ${service.service} is in service`,
	};
}

function overloaded({service, customer}: PoolRequest): Refusal {
	return {
		reason: 'overloaded',
		ran: 'not-run',
		retryAfterMs: overloadedRetryMs,
		message: `the queue of ${service.service} is full and ${customer} has the largest backlog in it`,
	};
}

function tooLate({service}: PoolRequest): Refusal {
	return {
		reason: 'deadline',
		ran: 'not-run',
		retryAfterMs: overloadedRetryMs,
		message: `no backend server of ${service.service} was free in time`,
	};
}
