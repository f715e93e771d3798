/**
 * Holds the requests that no server has room for, in one queue for each service or, for
 * services divided by key, for each owner. A queue is examined again when a request of
 * this daemon ends, when the view changes, and when the decay of a server's report shows
 * room. Requests that can't be served in time are refused.
 */
import {
	AdmissionQueue,
	BufferLease,
	CallerCostOrder,
	latestStart,
	leavesAt,
	type BufferBudget,
	type Cancel,
	type Clock,
	type Millis,
	type ServerLoads,
	type WaitingRequest,
} from '@kingcuproute/core';
import {type Log} from '../log/log.js';
import {type GatewayMetrics} from './gateway-metrics.js';
import {type RequestEnd} from './request-end.js';
import {
	examinedFields,
	ownerQueue,
	type Examined,
	type ServerAdmission,
} from './server-admission.js';

/** A request for which a place in a queue is asked. */
export type QueuedRequest = WaitingRequest & {
	readonly service: string;
	/** Examines the servers again; undefined if the request is to try now. The oldest one is at times examined without regard to its rank. */
	readonly examine: (isOldest: boolean) => Examined | undefined;
};

/** How the waiting of a request ended: it is to try now, it is refused, or its caller or this daemon ended it. */
export type WaitEnd =
	| {readonly kind: 'try'; readonly isOldest: boolean}
	| {readonly kind: 'refused'; readonly end: RequestEnd}
	| {readonly kind: 'withdrawn'};

/** A request's wait; `withdraw` ends it at once. */
export type Waiting = {
	readonly ended: Promise<WaitEnd>;
	readonly withdraw: () => void;
};

type Entry = QueuedRequest & {
	readonly lease: BufferLease;
	readonly settle: (end: WaitEnd) => void;
	/** What was found when it was examined last. */
	examined: Examined;
	isSettled: boolean;
};

/** Why a request left a queue. */
export type QueueExit = 'tried' | 'refused' | 'evicted' | 'withdrawn';

/** Memory of a waiting request without its body: its headers, and what its connection and closures take. */
const entryLen = 4096;
/** While requests wait, a queue is examined after at least, and at most, this time. */
const minPauseMs: Millis = 5;
const maxPauseMs: Millis = 100;
/** Requests of one queue that are examined at once: the first in order has the widest bounds, unless little of its own time is left. */
const maxExamined = 4;
/** Empty queues are dropped beyond this number; until then they remember whose turn it is. */
const maxQueues = 1000;

export type WaitingContext = {
	readonly admission: Pick<ServerAdmission, 'pace'>;
	readonly loads: ServerLoads;
	readonly clock: Clock;
	readonly buffers: BufferBudget;
	readonly metrics: GatewayMetrics;
	readonly log: Log;
};

export class WaitingRequests {
	readonly #queues = new Map<string, AdmissionQueue<Entry>>();
	readonly #timers = new Map<string, {at: Millis; cancel: Cancel}>();
	/** The request that was let out last, by queue. */
	readonly #preferred = new Map<string, string>();

	constructor(private readonly context: WaitingContext) {}

	/** Whether requests wait in the queue, so that a new one has to take its place among them. */
	isWaiting(queue: string): boolean {
		return (this.#queues.get(queue)?.length ?? 0) > 0;
	}

	/** Whether a request other than `id` that can still be in time waits in the queue. */
	hasInTime(queue: string, id: string): boolean {
		const now = this.context.clock.now();
		return this.#queues.get(queue)?.hasInTime(id, now) ?? false;
	}

	/** Gives the request a place in the queue that `examined` names, or refuses it. */
	wait(request: QueuedRequest, examined: Examined): Waiting {
		let settle!: (end: WaitEnd) => void;
		const ended = new Promise<WaitEnd>((resolve) => {
			settle = resolve;
		});
		const lease = new BufferLease(this.context.buffers);
		const entry: Entry = {
			...request,
			lease,
			settle,
			examined,
			isSettled: false,
		};
		this.#enter(entry);
		const withdraw = () => {
			this.#leave(entry, 'withdrawn', {kind: 'withdrawn'});
		};

		return {ended, withdraw};
	}

	/** Examines the requests that wait for the server, or for any server of its service. */
	wake(service: string, server: string): void {
		for (const queue of [service, ownerQueue(service, server)]) {
			this.#examineIn(queue, 0);
		}
	}

	wakeAll(): void {
		for (const queue of this.#queues.keys()) {
			this.#examineIn(queue, 0);
		}
	}

	#enter(entry: Entry): void {
		const {clock, log, metrics} = this.context;
		const now = clock.now();
		const {queue: name} = entry.examined;
		const queue = this.#queueOf(name);
		metrics.queueEntered(entry.service);
		const evicted = queue.add(entry, now);
		if (evicted) {
			this.#refuse(evicted, 'evicted');
		}

		if (evicted === entry) {
			return;
		}

		const place = queue.inOrder(now).indexOf(entry);
		if (!entry.lease.tryReserve(entryLen) || !this.#mayHold(entry, place)) {
			this.#refuse(entry, 'refused');
			return;
		}

		const {id, service, examined} = entry;
		const queueLen = queue.length;
		const fields = {...examinedFields(examined), queueLen, place};
		log.routing('request-waits', {id, service, ...fields});
		this.#examineIn(name, examined.placeMs === 0 ? 0 : minPauseMs);
	}

	/** Lets the first request out that finds room, and refuses those without a prospect. */
	#examine(name: string): void {
		const {clock} = this.context;
		const queue = this.#queueOf(name);
		const now = clock.now();
		const places = new Map(
			queue.inOrder(now).map((entry, place) => [entry, place]),
		);
		const hasProspect = (entry: Entry) =>
			this.#hasProspect(entry, places.get(entry) ?? 0);
		for (const entry of queue.expired(now, hasProspect)) {
			this.#refuse(entry, 'refused');
		}

		const {ignoresRank} = queue;
		const next = queue.inOrder(now).slice(0, maxExamined);
		for (const [place, entry] of next.entries()) {
			const isOldest = ignoresRank && place === 0;
			const examined = entry.examine(isOldest);
			if (examined?.queue !== name) {
				this.#preferred.set(name, entry.id);
				queue.serve(entry);
				this.#leave(entry, 'tried', {kind: 'try', isOldest});
				// The next one sees the load with this one sent.
				this.#examineIn(name, 0);
				return;
			}

			entry.examined = examined;
			if (!this.#mayHold(entry, places.get(entry) ?? 0)) {
				this.#refuse(entry, 'refused');
			}
		}

		const [first] = queue.inOrder(now);
		if (first) {
			const at = Math.min(queue.nextExpiry(hasProspect), first.examined.roomAt);
			const pauseMs = Math.max(minPauseMs, Math.ceil(at - now));
			this.#examineIn(name, Math.min(maxPauseMs, pauseMs));
		}
	}

	#examineIn(name: string, ms: Millis): void {
		const {clock} = this.context;
		const at = clock.now() + ms;
		const timer = this.#timers.get(name);
		if (!this.isWaiting(name) || (timer && timer.at <= at)) {
			return;
		}

		timer?.cancel();
		const cancel = clock.after(ms, () => {
			this.#timers.delete(name);
			this.#examine(name);
		});
		this.#timers.set(name, {at, cancel});
	}

	/** Whether the request is likely to be let out before it would have to be refused. */
	#mayHold(entry: Entry, place: number): boolean {
		const heldUntil = leavesAt(entry, this.#hasProspect(entry, place));
		return this.#expectedAt(entry, place) <= heldUntil;
	}

	/** A request of this daemon at the server will end and bring a new report, soon enough to be in time. */
	#hasProspect(entry: Entry, place: number): boolean {
		const {loads, clock} = this.context;
		const {ask, runMs, examined} = entry;
		return (
			loads.inFlight(examined.server.backendServer) > 0 &&
			this.#expectedAt(entry, place) <= latestStart(ask, runMs, clock.now())
		);
	}

	/** When the request, with `place` others before it, is expected to be let out. */
	#expectedAt({examined}: Entry, place: number): Millis {
		const now = this.context.clock.now();
		const {placeMs, roomAt, intervalMs} = examined;
		return (
			now + Math.min(placeMs, Math.max(0, roomAt - now)) + place * intervalMs
		);
	}

	#refuse(entry: Entry, exit: QueueExit): void {
		const {admission, clock} = this.context;
		const {examined, ask, runMs, arrivedAt} = entry;
		const {queue: name, intervalMs} = examined;
		const now = clock.now();
		const queue = this.#queueOf(name);
		const place = Math.max(0, queue.inOrder(now).indexOf(entry));
		const waitMs = this.#expectedAt(entry, place) - now;
		const prospect = {waitMs, intervalMs, runMs};
		const retryAfterMs = Math.round(
			admission.pace.retryAfter(name, ask, prospect, now),
		);
		const full = {
			...examinedFields(examined),
			queueLen: queue.length,
			place,
			waitedMs: Math.round(now - arrivedAt),
			rank: ask.rank,
			slackMs: Math.round(ask.due - now),
			preferred: this.#preferred.get(name) ?? 'none',
			evicted: String(exit === 'evicted'),
		};
		const reason = 'overloaded';
		const end: RequestEnd = {reason, notRun: true, retryAfterMs, full};
		this.#leave(entry, exit, {kind: 'refused', end});
	}

	#leave(entry: Entry, exit: QueueExit, end: WaitEnd): void {
		if (entry.isSettled) {
			return;
		}

		entry.isSettled = true;
		const {clock, metrics} = this.context;
		this.#queueOf(entry.examined.queue).remove(entry);
		entry.lease.close();
		const waitedMs = clock.now() - entry.arrivedAt;
		metrics.queueLeft(entry.service, exit, waitedMs);
		entry.settle(end);
	}

	#queueOf(name: string): AdmissionQueue<Entry> {
		let queue = this.#queues.get(name);
		if (!queue) {
			this.#dropEmpty();
			queue = new AdmissionQueue<Entry>(new CallerCostOrder());
			this.#queues.set(name, queue);
		}

		return queue;
	}

	#dropEmpty(): void {
		if (this.#queues.size < maxQueues) {
			return;
		}

		for (const [name, {length}] of this.#queues) {
			if (length === 0) {
				this.#queues.delete(name);
				this.#preferred.delete(name);
			}
		}
	}
}
