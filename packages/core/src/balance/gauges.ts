/**
 * What one daemon knows of the servers of one service, and the evidence that
 * changes a server's share. A small mutable object, owned by one pool: each event
 * replaces one immutable gauge.
 */
import {type Service} from '../config/service.js';
import {type Millis} from '../time/clock.js';
import {ColdEvidence} from './cold-evidence.js';
import {isRamped, warmth, type Place} from './allowance.js';
import {ended, reported, sent, unknownGauge, type Gauge} from './gauge.js';
import {median} from './median.js';
import {type Notice, type RampCause} from './notice.js';
import {type Outcome} from './outcome.js';
import {type BalancePolicy} from './policy.js';
import {type ColdVerdict, type Evidence} from './slowness.js';

/** What a server's health and load endpoints say; a field it doesn't tell is absent. */
export type Reading = {
	readonly cold?: boolean;
	readonly draining?: boolean;
	readonly incarnation?: string;
	readonly inFlight?: number;
};

const soleDaemon: Place = {rank: 0, count: 1};

export class Gauges {
	readonly #gauges = new Map<string, Gauge>();
	#places: ReadonlyMap<string, Place> = new Map();
	readonly #evidence: ColdEvidence;
	#service: Service | undefined;
	#notices: Notice[] = [];
	#live: ReadonlySet<string> | undefined;

	constructor(private readonly policy: BalancePolicy) {
		this.#evidence = new ColdEvidence(policy);
	}

	get(server: string): Gauge {
		return this.#gauges.get(server) ?? unknownGauge(this.policy);
	}

	place(server: string): Place {
		return this.#places.get(server) ?? soleDaemon;
	}

	/** This daemon's place among the callers of each server. */
	setPlaces(places: ReadonlyMap<string, Place>): void {
		this.#places = places;
	}

	/**
	 * The servers in service now. One that was not there before is ramped, but for
	 * those that are there when the daemon starts: other daemons already send to them.
	 */
	setServers(servers: readonly string[], now: Millis): void {
		const live = new Set(servers);
		for (const [server, {inFlight}] of this.#gauges) {
			if (!live.has(server) && inFlight === 0) {
				this.#gauges.delete(server);
				this.#evidence.forget(server);
			}
		}

		const known = this.#live;
		this.#live = live;
		for (const server of servers) {
			if (!known?.has(server)) {
				this.#gauges.set(server, this.#newcomer(server));
				if (known) {
					this.ramp(server, 'new', now);
				}
			}
		}
	}

	/** Whether the server is in service. */
	isLive(server: string): boolean {
		return this.#live?.has(server) ?? false;
	}

	/** After a request was sent; the next one waits for `nextAt`. */
	sent(server: string, now: Millis, nextAt: Millis): void {
		this.#gauges.set(server, sent(this.get(server), now, nextAt));
	}

	/** After a request ended. */
	ended(server: string, outcome: Outcome, now: Millis): void {
		const expected = this.#expected(server, now);
		const {usualMs} = this.get(server);
		this.#evidence.weigh(server, {outcome, usualMs, expected});
		const gauge = ended(this.get(server), outcome, now, this.policy);
		this.#gauges.set(server, gauge);
		if (outcome.kind === 'cold') {
			this.ramp(server, 'answered-cold', now);
		} else if (gauge.failures >= this.policy.ejectFailures) {
			this.#eject(server, gauge, now);
		}
	}

	/** Evidence gathered that is worth telling the server's home of; it is given once. */
	takeEvidence(): readonly Evidence[] {
		return this.#service?.slowStartMs === 0 ? [] : this.#evidence.take();
	}

	/** After the server's home judged the evidence of all its callers. */
	judged({kind, backendServer}: ColdVerdict, now: Millis): void {
		const gauge = this.get(backendServer);
		if (kind === 'recovered') {
			if (gauge.looksCold) {
				this.#endRamp(backendServer);
			}
		} else if (gauge.rampFrom !== undefined) {
			this.#gauges.set(backendServer, {...gauge, rampFrom: now});
			this.#evidence.forget(backendServer);
		} else if (this.#mayTakeOut(this.ramping())) {
			this.ramp(backendServer, 'looks-cold', now);
		}
	}

	/** After a server's health or load was read. */
	reported(server: string, report: Reading, now: Millis): void {
		const gauge = this.get(server);
		const {incarnation = gauge.incarnation, inFlight} = report;
		const next =
			inFlight === undefined ? gauge : reported(gauge, inFlight, now);
		const coldSince = report.cold === false ? undefined : gauge.coldSince;
		this.#gauges.set(server, {...next, incarnation, coldSince});
		this.#hearDraining(server, report.draining, now);
		if (gauge.incarnation !== undefined && incarnation !== gauge.incarnation) {
			this.ramp(server, 'restarted', now);
		} else if (report.cold) {
			this.#hearCold(server, now);
		}
	}

	/** Servers that have said for `ms` or longer that they are draining. */
	draining(now: Millis, ms: Millis): readonly string[] {
		return this.#where(
			({drainingSince}) =>
				drainingSince !== undefined && now - drainingSince >= ms,
		);
	}

	/** Begins a ramp from the lowest share. */
	ramp(server: string, cause: RampCause, now: Millis): void {
		const gauge = this.get(server);
		const looksCold = cause === 'looks-cold';
		this.#gauges.set(server, {...gauge, rampFrom: now, looksCold});
		this.#evidence.forget(server);
		this.#notices.push({kind: 'ramping', backendServer: server, cause});
	}

	/** Ends ramps that have run their time. */
	settle(service: Service, now: Millis): void {
		this.#service = service;
		for (const [server, gauge] of this.#gauges) {
			if (gauge.rampFrom !== undefined && isRamped(gauge, service, now)) {
				this.#endRamp(server);
			}
		}
	}

	/** Servers kept out now on this daemon's evidence. */
	ejected(now: Millis): readonly string[] {
		return this.#where(({ejectedUntil}) => ejectedUntil > now);
	}

	/** Servers whose share is growing. */
	ramping(): readonly string[] {
		return this.#where(({rampFrom}) => rampFrom !== undefined);
	}

	/** What happened since the last call. */
	takeNotices(): readonly Notice[] {
		const notices = this.#notices;
		this.#notices = [];
		return notices;
	}

	/** A server that says it is cold stays at the lowest share, but not for good on its word alone. */
	#hearCold(server: string, now: Millis): void {
		const gauge = this.get(server);
		const {coldSince = now, rampFrom} = gauge;
		this.#gauges.set(server, {...gauge, coldSince});
		if (now - coldSince > this.policy.maxColdMs) {
			return;
		}

		if (rampFrom === undefined) {
			this.ramp(server, 'reported-cold', now);
		} else {
			this.#gauges.set(server, {...gauge, coldSince, rampFrom: now});
		}
	}

	/** A server that drains is believed: it gets no new work until it says otherwise, and is then ramped. */
	#hearDraining(
		server: string,
		draining: boolean | undefined,
		now: Millis,
	): void {
		const gauge = this.get(server);
		const {drainingSince, ...rest} = gauge;
		if (draining === true && drainingSince === undefined) {
			this.#gauges.set(server, {...gauge, drainingSince: now});
			this.#notices.push({kind: 'draining', backendServer: server});
		} else if (draining === false && drainingSince !== undefined) {
			this.#gauges.set(server, rest);
			this.ramp(server, 'returned', now);
		}
	}

	#endRamp(server: string): void {
		const {rampFrom, ...rest} = this.get(server);
		this.#gauges.set(server, {...rest, looksCold: false});
		this.#evidence.forget(server);
		this.#notices.push({kind: 'ramped', backendServer: server});
	}

	#where(holds: (gauge: Gauge) => boolean): readonly string[] {
		return [...this.#gauges]
			.filter(([, gauge]) => holds(gauge))
			.map(([server]) => server);
	}

	#newcomer(server: string): Gauge {
		const gauge = unknownGauge(this.policy);
		const latencyMs = this.#median(({latencyMs: ms}) => ms) ?? gauge.latencyMs;
		return {...gauge, latencyMs, inFlight: this.get(server).inFlight};
	}

	#eject(server: string, gauge: Gauge, now: Millis): void {
		if (gauge.ejectedUntil > now || !this.#mayTakeOut(this.ejected(now))) {
			return;
		}

		const {ejectMs, maxEjectMs} = this.policy;
		const forMs = Math.min(maxEjectMs, ejectMs * 2 ** gauge.ejections);
		const ejectedUntil = now + forMs;
		this.#gauges.set(server, {
			...gauge,
			failures: 0,
			ejectedUntil,
			ejections: gauge.ejections + 1,
			looksCold: false,
			rampFrom: ejectedUntil,
		});
		const {failures} = gauge;
		this.#notices.push({
			kind: 'ejected',
			backendServer: server,
			forMs,
			failures,
		});
	}

	/** How many times slower than its peers a server that looked cold should be by now. */
	#expected(server: string, now: Millis): number | undefined {
		const gauge = this.get(server);
		return gauge.looksCold && this.#service
			? 1 / warmth(gauge, this.#service, now)
			: undefined;
	}

	/** Whether one more may lose its share, so that the rest are not overrun. */
	#mayTakeOut(taken: readonly string[]): boolean {
		const most = Math.floor(this.#gauges.size * this.policy.maxEjectedShare);
		return taken.length < most;
	}

	#median(of: (gauge: Gauge) => number): number | undefined {
		return median([...this.#gauges.values()].map((gauge) => of(gauge)));
	}
}
