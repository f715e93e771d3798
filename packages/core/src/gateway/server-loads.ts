/**
 * Estimates how busy and how fast each backend server is, from the requests that this
 * daemon sent there and from reports in the answers, and chooses the server for the next
 * request. Many daemons send to the same servers, and each sees only its own requests,
 * so the requests of the others that a server reports count for a while. Servers differ
 * in speed, so a fast one gets more requests than a slow one. Where bytes between failure
 * domains are expensive, a server of another domain is charged a time for them.
 */
import {type Random} from '../chance/random.js';
import {type Millis} from '../time/clock.js';
import {median} from '../balance/median.js';
import {type DomainCrossing} from './domain-crossing.js';
import {type ListedServer} from './listed-server.js';

/** A server's report of itself: the requests that run and that wait there, and its slots. */
export type Occupancy = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
};

/** How one request sent to a server ended, as far as that says something about the server: `failed` is an answer by which the server says that it failed. */
export type SendOutcome =
	'answered' | 'failed' | 'declined' | 'lost' | 'cancelled';

/** Reported requests of other daemons count half after this time, the usual run time of a request. */
const reportHalfLifeMs: Millis = 300;
/** Reports of this age still tell how busy a failure domain is: each of many daemons hears of one of its servers about twice a second. */
const recentReportMs: Millis = 3000;
/** How long a server that lost a request is used only as a last resort: a few times as long as a crashed server takes until its next report. */
const avoidLostMs: Millis = 2000;
/** How long a server that declined a request is used only as a last resort: about the run time of one request. */
const avoidDeclinedMs: Millis = 200;
/** Weight of a new reading in the moving averages: a dozen readings outweigh all earlier ones. */
const newReadingWeight = 0.15;
/** A moving average rests on this many readings at the most: the weights of earlier ones add up to no more. */
const maxReadings = Math.round(2 / newReadingWeight - 1);
/** A run time or failure share without a new reading counts half after this time, so that the server is tried again. */
const readingHalfLifeMs: Millis = 5000;
/** The expected time of a request at an idle server, relative to the time that one more request per slot adds. */
const idleWeight = 0.5;
/** Run time of requests as long as none has been measured: about the usual one of the sites served. */
const defaultRunMs: Millis = 200;
/** A server that has answered within this time is likely to take a retry. */
const provenMs: Millis = 5000;
/** Requests per slot below which a slot is free. */
const freeLoad = 1;
/** Requests per slot at which a server gets no more: its queue then holds about one run time of work. */
export const maxLoad = 2;

const noRunTimes: ReadonlyMap<string, Millis> = new Map();
const noCharge: DomainCrossing = {ownDomain: '', chargeMs: 0};

/** What this daemon knows about one server. */
type ServerStats = {
	/** Requests of this daemon. */
	inFlight: number;
	/** Requests of other daemons, as of `reportedAt`. */
	others: number;
	reportedAt: Millis;
	/** How long a request runs there once it need not wait, as of `runMsAt`; undefined before the first answer. */
	runMs: Millis | undefined;
	/** The number of answers that `runMs` rests on. */
	readings: number;
	runMsAt: Millis;
	avoidUntil: Millis;
	answeredAt: Millis;
	/** The share of its recent requests that it declined, lost or failed, as of `failShareAt`. */
	failShare: number;
	failShareAt: Millis;
};

class Mean {
	#sum = 0;
	#count = 0;

	/** 0 if nothing was added. */
	get value(): number {
		return this.#sum / Math.max(1, this.#count);
	}

	add(value: number): void {
		this.#sum += value;
		this.#count++;
	}
}

/** A server that may get the request, and its load. */
type Candidate = {
	readonly server: ListedServer;
	readonly stats: ServerStats;
	readonly load: number;
};

export class ServerLoads {
	readonly #stats = new Map<string, ServerStats>();

	constructor(
		private readonly random: Random,
		/** The run times that other daemons measured, by server. */
		private readonly fleetRunTimes: (
			service: string,
		) => ReadonlyMap<string, Millis> = () => noRunTimes,
	) {}

	/** Drops the data of servers that are not in `servers` and have no request in flight. */
	keep(servers: ReadonlySet<string>): void {
		for (const [server, {inFlight}] of this.#stats) {
			if (!servers.has(server) && inFlight === 0) {
				this.#stats.delete(server);
			}
		}
	}

	sent(server: string): void {
		this.#statsOf(server).inFlight++;
	}

	ended(server: string, end: SendOutcome, now: Millis): void {
		const stats = this.#statsOf(server);
		stats.inFlight--;
		if (end !== 'cancelled') {
			const failed = end === 'answered' ? 0 : 1;
			const previous = this.#failShare(stats, now);
			stats.failShare = previous + (failed - previous) * newReadingWeight;
			stats.failShareAt = now;
		}

		if (end === 'answered') {
			stats.answeredAt = now;
		}

		if (end === 'lost') {
			stats.avoidUntil = now + avoidLostMs;
		} else if (end === 'declined') {
			stats.avoidUntil = now + avoidDeclinedMs;
		}
	}

	/** Records a report that came with an answer, before that request's end is recorded. */
	reported(server: string, {running, waiting}: Occupancy, now: Millis): void {
		const stats = this.#statsOf(server);
		stats.others = Math.max(0, running + waiting - stats.inFlight);
		stats.reportedAt = now;
	}

	/** Records how long an answer took. The share of it that the request waited is estimated from the server's queue. */
	ran(
		server: string,
		tookMs: Millis,
		{waiting, slots}: Occupancy,
		now: Millis,
	): void {
		const stats = this.#statsOf(server);
		const runMs = tookMs / (1 + waiting / slots);
		const previous = stats.runMs ?? runMs;
		stats.readings = Math.min(maxReadings, stats.readings + 1);
		// Until there are enough for a moving average, all count alike.
		const weight = Math.max(newReadingWeight, 1 / stats.readings);
		stats.runMs = previous + (runMs - previous) * weight;
		stats.runMsAt = now;
	}

	/** How long a request runs at each of `servers` that has answered one, in ms. */
	runTimes(servers: readonly ListedServer[]): ReadonlyMap<string, Millis> {
		const times = new Map<string, Millis>();
		for (const {backendServer} of servers) {
			const runMs = this.#stats.get(backendServer)?.runMs;
			if (runMs !== undefined) {
				times.set(backendServer, runMs);
			}
		}

		return times;
	}

	/** How many answers the run time of each of `servers` rests on. */
	readings(servers: readonly ListedServer[]): ReadonlyMap<string, number> {
		const counts = servers.map(
			({backendServer}) =>
				[backendServer, this.#stats.get(backendServer)?.readings ?? 0] as const,
		);
		return new Map(counts.filter(([, count]) => count > 0));
	}

	/**
	 * The server that is expected to answer first; undefined if all are full. A retry goes
	 * to a server that has answered this daemon recently and has a free slot, if there is
	 * one: in a large fleet a daemon knows few servers, and when many refuse, the next one
	 * at random is likely to refuse as well. Servers outside `crossing.ownDomain` are
	 * charged `crossing.chargeMs`.
	 */
	choose(
		candidates: readonly ListedServer[],
		now: Millis,
		isRetry = false,
		{ownDomain, chargeMs}: DomainCrossing = noCharge,
	): ListedServer | undefined {
		const eligible = this.#eligible(candidates, now, isRetry);
		const runMsOf = this.#runTimes(candidates, now);
		const unseenLoad =
			chargeMs > 0 ? this.#unseenLoads(candidates, now) : () => 0;
		let shortest = Infinity;
		let fastest: ListedServer[] = [];
		for (const {server, stats, load} of eligible) {
			const expectedTime =
				(runMsOf(server) * (idleWeight + load + unseenLoad(server))) /
					(1 - this.#failShare(stats, now)) +
				(server.failureDomain === ownDomain ? 0 : chargeMs);
			if (expectedTime < shortest) {
				shortest = expectedTime;
				fastest = [server];
			} else if (expectedTime === shortest) {
				fastest.push(server);
			}
		}

		return this.random.pick(fastest);
	}

	/** Requests per slot: those of this daemon and the reported ones of the others. */
	load({backendServer, slots}: ListedServer, now: Millis): number {
		return loadOf(this.#statsOf(backendServer), slots, now);
	}

	/** Requests of this daemon at the server. */
	inFlight(server: string): number {
		return this.#stats.get(server)?.inFlight ?? 0;
	}

	/** How long a request runs at the server, from answers of the last seconds; undefined if there are none. */
	recentRunTime(server: string, now: Millis): Millis | undefined {
		const stats = this.#stats.get(server);
		return stats && now - stats.runMsAt < 2 * readingHalfLifeMs
			? stats.runMs
			: undefined;
	}

	/** How long one more request waits for a slot at a server whose requests run for `runMs`. */
	expectedWait(server: ListedServer, runMs: Millis, now: Millis): Millis {
		const {slots} = server;
		const ahead = this.load(server, now) * slots + 1 - slots;
		return (Math.max(0, ahead) * runMs) / slots;
	}

	/** When the report's decay brings the load below `load`; Infinity if this daemon's own requests keep it up. */
	fallsBelow(server: ListedServer, load: number, now: Millis): Millis {
		const {inFlight, others, reportedAt} = this.#statsOf(server.backendServer);
		const room = load * server.slots - inFlight;
		if (room <= 0) {
			return Infinity;
		}

		const halvings = Math.log2(others / room);
		return Math.max(now, reportedAt + halvings * reportHalfLifeMs);
	}

	/** The servers that are not full, of the best kind that there is: for a retry the proven ones, then those not avoided. */
	#eligible(
		candidates: readonly ListedServer[],
		now: Millis,
		isRetry: boolean,
	): readonly Candidate[] {
		const open: Candidate[] = [];
		const notAvoided: Candidate[] = [];
		const proven: Candidate[] = [];
		for (const server of candidates) {
			const stats = this.#statsOf(server.backendServer);
			const load = loadOf(stats, server.slots, now);
			if (load >= maxLoad) {
				continue;
			}

			const candidate = {server, stats, load};
			open.push(candidate);
			if (stats.avoidUntil <= now) {
				notAvoided.push(candidate);
				if (isRetry && load < freeLoad && now - stats.answeredAt < provenMs) {
					proven.push(candidate);
				}
			}
		}

		return [proven, notAvoided].find(({length}) => length > 0) ?? open;
	}

	/**
	 * The load by other daemons that a server is expected to have beyond the faded part of
	 * its own report: that of its domain's other servers. Without it, a server not heard
	 * of lately would pass for idle, and a full domain would keep its requests.
	 */
	#unseenLoads(
		candidates: readonly ListedServer[],
		now: Millis,
	): (server: ListedServer) => number {
		const byDomain = new Map<string, Mean>();
		for (const {backendServer, failureDomain, slots} of candidates) {
			const {others, reportedAt} = this.#statsOf(backendServer);
			if (now - reportedAt < recentReportMs) {
				const mean = byDomain.get(failureDomain) ?? new Mean();
				mean.add(others / slots);
				byDomain.set(failureDomain, mean);
			}
		}

		return ({backendServer, failureDomain}) => {
			// A domain without recent reports counts as idle, so that it is tried when the others are busy.
			const mean = byDomain.get(failureDomain)?.value ?? 0;
			const {reportedAt} = this.#statsOf(backendServer);
			return mean * (1 - 2 ** (-(now - reportedAt) / reportHalfLifeMs));
		};
	}

	/** The failure share decays over time, so that a server that failed is tried again. */
	#failShare({failShare, failShareAt}: ServerStats, now: Millis): number {
		return failShare * 2 ** (-(now - failShareAt) / readingHalfLifeMs);
	}

	/**
	 * How long a request is expected to run at a server. An old reading gives way to the
	 * other daemons' run time, or to the median of `candidates` if there is none.
	 */
	#runTimes(
		candidates: readonly ListedServer[],
		now: Millis,
	): (server: ListedServer) => Millis {
		const measured = this.runTimes(candidates);
		const medianMs = median([...measured.values()]) ?? defaultRunMs;
		return ({backendServer, service}) => {
			const {runMs, runMsAt} = this.#statsOf(backendServer);
			const usualMs =
				this.fleetRunTimes(service).get(backendServer) ?? medianMs;
			if (runMs === undefined) {
				return usualMs;
			}

			const confidence = 2 ** (-(now - runMsAt) / readingHalfLifeMs);
			return usualMs + (runMs - usualMs) * confidence;
		};
	}

	#statsOf(server: string): ServerStats {
		let stats = this.#stats.get(server);
		if (!stats) {
			stats = {
				inFlight: 0,
				others: 0,
				reportedAt: -Infinity,
				runMs: undefined,
				readings: 0,
				runMsAt: 0,
				avoidUntil: 0,
				answeredAt: -Infinity,
				failShare: 0,
				failShareAt: 0,
			};
			this.#stats.set(server, stats);
		}

		return stats;
	}
}

/** Requests per slot: those of this daemon and the reported ones of the others. */
function loadOf(
	{inFlight, others, reportedAt}: ServerStats,
	slots: number,
	now: Millis,
): number {
	return (
		(inFlight + others * 2 ** (-(now - reportedAt) / reportHalfLifeMs)) / slots
	);
}
