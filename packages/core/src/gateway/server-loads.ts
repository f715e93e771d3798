/**
 * How busy and how fast one daemon takes each backend server to be, from what it has
 * sent there and from what answers say, and which server bears the next request.
 * Answers the load of many daemons at once on servers that differ in speed: each
 * daemon sees a part, so what a server reported of the others' requests counts for a
 * while, and a fast server is given more than a slow one.
 */
import {type Random} from '../chance/random.js';
import {type Millis} from '../time/clock.js';
import {median} from '../balance/median.js';
import {type ListedServer} from './listed-server.js';

/** What a server said of itself: requests that it runs and that wait there. */
export type Occupancy = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
};

/** How one sending ended, as far as it tells of the server. */
export type SendingEnd = 'answered' | 'declined' | 'lost' | 'cancelled';

/** Reported requests of other daemons count half after this: the usual time that a request runs. */
const reportHalfLifeMs: Millis = 300;
/** How long a server that lost a request is tried last: a few times a crashed one's next report. */
const avoidLostMs: Millis = 2000;
/** How long one that declined is tried last: about one request's run. */
const avoidDeclinedMs: Millis = 200;
/** How much of a new reading goes into a server's run time: a dozen readings outweigh the former ones. */
const newShare = 0.15;
/** A run time or a share of failures that is not renewed counts half after this, so that the server is tried again. */
const runHalfLifeMs: Millis = 5000;
/** What a request takes at an idle server, against what each request there adds, in runs a slot. */
const idleWeight = 0.5;
/** Requests a slot beyond which a server is not sent more: its queue then holds about one run's work. */
const maxLoad = 2;

type Gauge = {
	inFlight: number;
	/** Requests of other daemons, as of `reportedAt`. */
	others: number;
	reportedAt: Millis;
	/** How long a request runs there when it need not wait; undefined before the first answer. */
	runMs: Millis | undefined;
	ranAt: Millis;
	avoidUntil: Millis;
	/** The part of its newest requests that it declined or lost, as of `failedAt`. */
	failShare: number;
	failedAt: Millis;
	/** Part of a request that may be sent while the server is cold. */
	coldCredit: number;
	coldAt: Millis;
};

export class ServerLoads {
	readonly #gauges = new Map<string, Gauge>();

	constructor(private readonly random: Random) {}

	/** Drops what is known of servers that are gone. */
	keep(servers: ReadonlySet<string>): void {
		for (const [server, {inFlight}] of this.#gauges) {
			if (!servers.has(server) && inFlight === 0) {
				this.#gauges.delete(server);
			}
		}
	}

	sent(server: string): void {
		this.#gauge(server).inFlight++;
	}

	ended(server: string, end: SendingEnd, now: Millis): void {
		const gauge = this.#gauge(server);
		gauge.inFlight--;
		if (end !== 'cancelled') {
			const failed = end === 'answered' ? 0 : 1;
			const known = this.#failShare(gauge, now);
			gauge.failShare = known + (failed - known) * newShare;
			gauge.failedAt = now;
		}

		if (end === 'lost') {
			gauge.avoidUntil = now + avoidLostMs;
		} else if (end === 'declined') {
			gauge.avoidUntil = now + avoidDeclinedMs;
		}
	}

	/** Takes in a report that came with the answer to a request still counted as in flight. */
	reported(server: string, {running, waiting}: Occupancy, now: Millis): void {
		const gauge = this.#gauge(server);
		gauge.others = Math.max(0, running + waiting - gauge.inFlight);
		gauge.reportedAt = now;
	}

	/** Takes in how long an answer took; what waits at the server tells how long the request waited itself. */
	ran(
		server: string,
		tookMs: Millis,
		{waiting, slots}: Occupancy,
		now: Millis,
	): void {
		const gauge = this.#gauge(server);
		const runMs = tookMs / (1 + waiting / slots);
		const known = gauge.runMs ?? runMs;
		gauge.runMs = known + (runMs - known) * newShare;
		gauge.ranAt = now;
	}

	/** How long a request runs at each of the servers that are known, in ms. */
	runTimes(servers: readonly ListedServer[]): ReadonlyMap<string, Millis> {
		const times = new Map<string, Millis>();
		for (const {backendServer} of servers) {
			const runMs = this.#gauges.get(backendServer)?.runMs;
			if (runMs !== undefined) {
				times.set(backendServer, runMs);
			}
		}

		return times;
	}

	/** The server that is expected to answer first; undefined when each is full. */
	choose(
		candidates: readonly ListedServer[],
		now: Millis,
	): ListedServer | undefined {
		const loads = candidates
			.map((server) => ({server, load: this.load(server, now)}))
			.filter(({load}) => load < maxLoad);
		const calm = loads.filter(
			({server}) => this.#gauge(server.backendServer).avoidUntil <= now,
		);
		const open = calm.length > 0 ? calm : loads;
		const slowness = this.#slowness(candidates, now);
		const rated = open.map(({server, load}) => ({
			server,
			time:
				(slowness(server) * (idleWeight + load)) /
				(1 - this.#failShare(this.#gauge(server.backendServer), now)),
		}));
		const least = Math.min(...rated.map(({time}) => time));
		return this.random.pick(rated.filter(({time}) => time === least))?.server;
	}

	/** Requests a slot, of this daemon and, as far as reported, of the others. */
	load({backendServer, slots}: ListedServer, now: Millis): number {
		const {inFlight, others, reportedAt} = this.#gauge(backendServer);
		const age = now - reportedAt;
		return (inFlight + others * 2 ** (-age / reportHalfLifeMs)) / slots;
	}

	/**
	 * Whether a cold server may be sent one more request, which is then counted.
	 * `rate` is this daemon's part of what the server bears, in requests a second.
	 */
	takeCold(server: string, rate: number, now: Millis): boolean {
		const gauge = this.#gauge(server);
		const elapsedMs = Math.max(0, now - gauge.coldAt);
		gauge.coldCredit = Math.min(
			1,
			gauge.coldCredit + (elapsedMs / 1000) * rate,
		);
		gauge.coldAt = now;
		if (gauge.coldCredit < 1) {
			return false;
		}

		gauge.coldCredit--;
		return true;
	}

	/** Less with time, so that a server that failed is tried again. */
	#failShare({failShare, failedAt}: Gauge, now: Millis): number {
		return failShare * 2 ** (-(now - failedAt) / runHalfLifeMs);
	}

	/** How long a request runs at each server, against the usual 1. */
	#slowness(
		candidates: readonly ListedServer[],
		now: Millis,
	): (server: ListedServer) => number {
		const usualMs = median([...this.runTimes(candidates).values()]);
		return ({backendServer}) => {
			const {runMs, ranAt} = this.#gauge(backendServer);
			if (runMs === undefined || usualMs === undefined) {
				return 1;
			}

			const trust = 2 ** (-(now - ranAt) / runHalfLifeMs);
			return 1 + (runMs / usualMs - 1) * trust;
		};
	}

	#gauge(server: string): Gauge {
		let gauge = this.#gauges.get(server);
		if (!gauge) {
			gauge = {
				inFlight: 0,
				others: 0,
				reportedAt: 0,
				runMs: undefined,
				ranAt: 0,
				avoidUntil: 0,
				failShare: 0,
				failedAt: 0,
				coldCredit: 0,
				coldAt: Infinity,
			};
			this.#gauges.set(server, gauge);
		}

		return gauge;
	}
}
