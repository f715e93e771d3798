/** One recorded load of a hot owner, and what its callers get under a policy. */
import {
	admission,
	AdmissionQueue,
	leavesAt,
	RetryPace,
	SeededRandom,
	withoutRank,
	type PriorityRank,
	type QueueOrder,
	type ServerRoom,
	type WaitingRequest,
} from '../../src/index.js';

type Kind = PriorityRank & {
	readonly name: string;
	readonly ratePerS: number;
	readonly workMs: number;
	readonly targetMs: number;
	readonly timeoutMs: number;
	readonly value: readonly [inTime: number, late: number];
	readonly retries: number;
};

/** The kinds of request that share a hot owner, and their target latencies, as two customers have them. */
export const kinds: readonly Kind[] = [
	{
		name: 'lookups',
		rank: 0,
		urgentTargetMs: Infinity,
		ratePerS: 9,
		workMs: 160,
		targetMs: 537,
		timeoutMs: 4294,
		value: [1.4, 0.17],
		retries: 2,
	},
	{
		name: 'deposits',
		rank: 1,
		urgentTargetMs: 537,
		ratePerS: 4,
		workMs: 210,
		targetMs: 841,
		timeoutMs: 5256,
		value: [1.5, 0.44],
		retries: 2,
	},
	{
		name: 'photos',
		rank: 2,
		urgentTargetMs: 537,
		ratePerS: 2,
		workMs: 188,
		targetMs: 2095,
		timeoutMs: 8380,
		value: [0.73, 0.33],
		retries: 2,
	},
];

type Arrival = {
	readonly kind: Kind;
	readonly at: number;
	readonly firstAt: number;
	readonly retries: number;
	readonly workMs: number;
};

type Waiting = WaitingRequest & {readonly arrival: Arrival};

export type Tally = {
	inTime: number;
	late: number;
	refused: number;
	declines: number;
	value: number;
};

export type LoadPolicy = {
	/** Undefined: refused at once, with Retry-After 0.3 s, above two requests a slot. */
	readonly order: QueueOrder | undefined;
	/** Whether bounds depend on target latency and priority, else two requests a slot, with waiting up to the target latency. */
	readonly bounded: boolean;
};

const slots = 3;
const secondMs = 1000;
const durationMs = 30_000;
const stepMs = 5;
const serverQueueLen = 10;
const burst = {from: 12_000, to: 15_000, factor: 1.7};

/** The arrivals of first attempts, by time; all policies get the same. At a scale of 1 the server is busy for nine tenths of the time outside the burst. */
export function recordedLoad(seed: number, scale = 1): readonly Arrival[] {
	const random = new SeededRandom(seed);
	const arrivals: Arrival[] = [];
	for (let at = 0; at < durationMs; at += stepMs) {
		const factor = at >= burst.from && at < burst.to ? burst.factor : 1;
		for (const kind of kinds) {
			if (
				random.fraction() <
				(kind.ratePerS * scale * factor * stepMs) / secondMs
			) {
				const workMs = kind.workMs * (0.4 + 1.2 * random.fraction());
				arrivals.push({kind, at, firstAt: at, retries: 0, workMs});
			}
		}
	}

	return arrivals;
}

/** Plays the load against one server, whose own queue is served in the order of arrival. */
export function play(
	arrivals: readonly Arrival[],
	{order, bounded}: LoadPolicy,
): ReadonlyMap<string, Tally> {
	const random = new SeededRandom(1);
	const pace = new RetryPace(random);
	const queue = order && new AdmissionQueue<Waiting>(order);
	const tallies = new Map(
		kinds.map(({name}) => [
			name,
			{inTime: 0, late: 0, refused: 0, declines: 0, value: 0},
		]),
	);
	const busyUntil = Array.from({length: slots}, () => 0);
	let sentEnds: readonly number[] = [];
	let pending = [...arrivals];
	const meanMs = 175;
	const roomOf = (runMs: number, now: number): ServerRoom => {
		const load = sentEnds.filter((end) => end > now).length / slots;
		const ahead = Math.max(0, load * slots + 1 - slots);
		return {load, waitMs: (ahead * meanMs) / slots, runMs, queueLoad: 4};
	};

	const admits = (each: Waiting, now: number, isOldest = false): boolean => {
		const ask = isOldest ? withoutRank(each.ask) : each.ask;
		const room = roomOf(each.runMs, now);
		const othersInTime = queue?.hasInTime(each.id, now) ?? false;
		return bounded
			? admission(ask, room, now, othersInTime).admitted
			: room.load < 2;
	};

	const send = ({arrival: {kind, workMs, firstAt}}: Waiting, now: number) => {
		const slot = busyUntil.indexOf(Math.min(...busyUntil));
		const end = Math.max(now, busyUntil[slot]) + workMs;
		busyUntil[slot] = end;
		sentEnds = [...sentEnds.filter((each) => each > now), end];
		const tally = tallies.get(kind.name)!;
		const tookMs = end - firstAt;
		if (tookMs <= kind.targetMs) {
			tally.inTime++;
			tally.value += kind.value[0];
		} else if (tookMs <= kind.timeoutMs) {
			tally.late++;
			tally.value += kind.value[1];
		}
	};

	const refuse = ({arrival, ask, runMs}: Waiting, now: number) => {
		const tally = tallies.get(arrival.kind.name)!;
		tally.declines++;
		const intervalMs = meanMs / slots;
		const prospect = {waitMs: roomOf(runMs, now).waitMs, intervalMs, runMs};
		const at =
			now + (bounded ? pace.retryAfter('owner', ask, prospect, now) : 300);
		if (arrival.retries < arrival.kind.retries) {
			pending.push({...arrival, at, retries: arrival.retries + 1});
		} else {
			tally.refused++;
		}
	};

	for (let now = 0; now < durationMs + 10_000; now += stepMs) {
		for (const arrival of pending.filter(({at}) => at <= now)) {
			const each = waitingOf(arrival, now);
			const hasTurn = (queue?.length ?? 0) === 0;
			if (hasTurn && admits(each, now)) {
				send(each, now);
			} else if (queue) {
				const evicted = queue.add(each, now);
				if (evicted) {
					refuse(evicted, now);
				}
			} else {
				refuse(each, now);
			}
		}

		pending = pending.filter(({at}) => at > now);
		const ignoresRank = queue?.ignoresRank ?? false;
		for (const [place, each] of (queue?.inOrder(now) ?? []).entries()) {
			const isOldest = ignoresRank && place === 0;
			const room = roomOf(each.runMs, now);
			const hasProspect = !bounded || room.load < 2 + serverQueueLen / slots;
			if (admits(each, now, isOldest)) {
				queue!.serve(each);
				send(each, now);
			} else if (now >= leavesAt(each, hasProspect)) {
				queue!.remove(each);
				refuse(each, now);
			}
		}
	}

	return tallies;
}

function waitingOf(arrival: Arrival, now: number): Waiting {
	const {kind, firstAt, retries, workMs} = arrival;
	const {rank, urgentTargetMs, targetMs, timeoutMs} = kind;
	const due = firstAt + targetMs;
	const until = firstAt + timeoutMs;
	return {
		id: `${kind.name} ${firstAt} ${retries} ${workMs}`,
		caller: 'c',
		ask: {rank, urgentTargetMs, due, until, targetMs},
		runMs: kind.workMs,
		arrivedAt: now,
		arrival,
	};
}
