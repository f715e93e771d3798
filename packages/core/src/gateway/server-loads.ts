/**
 * How busy one daemon takes each backend server to be, from what it has sent there
 * and from what answers say, and which server bears the next request. Answers the
 * load of many daemons at once: each sees a part, so what a server reported of the
 * others' requests counts for a while.
 */
import {type Random} from '../chance/random.js';
import {type Millis} from '../time/clock.js';
import {type ListedServer} from './listed-server.js';

/** What a server said of itself: requests that it runs and that wait there. */
export type Occupancy = {
	readonly running: number;
	readonly waiting: number;
};

/** How one sending ended, as far as it tells of the server. */
export type SendingEnd = 'answered' | 'declined' | 'lost' | 'cancelled';

/** Reported requests of other daemons count half after this: the usual time that a request runs. */
const reportHalfLifeMs: Millis = 300;
/** How long a server that lost a request is tried last: a few times a crashed one's next report. */
const avoidLostMs: Millis = 2000;
/** How long one that declined is tried last: about one request's run. */
const avoidDeclinedMs: Millis = 200;
/** Requests a slot beyond which a server is not sent more: its queue then holds about one run's work. */
const maxLoad = 2;

type Gauge = {
	inFlight: number;
	/** Requests of other daemons, as of `reportedAt`. */
	others: number;
	reportedAt: Millis;
	avoidUntil: Millis;
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

	/** The server that is least busy for its slots; undefined when each is full. */
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
		const least = Math.min(...open.map(({load}) => load));
		return this.random.pick(open.filter(({load}) => load === least))?.server;
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

	#gauge(server: string): Gauge {
		let gauge = this.#gauges.get(server);
		if (!gauge) {
			gauge = {
				inFlight: 0,
				others: 0,
				reportedAt: 0,
				avoidUntil: 0,
				coldCredit: 0,
				coldAt: Infinity,
			};
			this.#gauges.set(server, gauge);
		}

		return gauge;
	}
}
