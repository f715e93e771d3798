/**
 * The gauges of one service's servers on one daemon, and the rules by which events
 * start and end ramps and eject servers. A small mutable object, owned by one pool:
 * each event replaces one immutable gauge.
 */
import {type Service} from '../config/service.js';
import {type Millis} from '../time/clock.js';
import {ColdEvidence} from './cold-evidence.js';
import {isRampOver, rampShare, type CallerRank} from './allowance.js';
import {
	afterEnd,
	afterReport,
	afterSend,
	initialGauge,
	type Gauge,
} from './gauge.js';
import {median} from './median.js';
import {type Notice, type RampCause} from './notice.js';
import {type Outcome} from './outcome.js';
import {type BalancePolicy} from './policy.js';
import {type ColdVerdict, type Evidence} from './slowness.js';

/** What a server's health and load endpoints report; a field that they leave out is absent. */
export type ServerReport = {
	readonly cold?: boolean;
	readonly draining?: boolean;
	readonly incarnation?: string;
	readonly inFlight?: number;
};

/** Assumed until the ranks are set: this daemon is the only caller. */
const onlyCaller: CallerRank = {rank: 0, count: 1};

export class Gauges {
	readonly #gauges = new Map<string, Gauge>();
	#callerRanks: ReadonlyMap<string, CallerRank> = new Map();
	readonly #evidence: ColdEvidence;
	#service: Service | undefined;
	#notices: Notice[] = [];
	#liveServers: ReadonlySet<string> | undefined;

	constructor(private readonly policy: BalancePolicy) {
		this.#evidence = new ColdEvidence(policy);
	}

	get(server: string): Gauge {
		return this.#gauges.get(server) ?? initialGauge(this.policy);
	}

	/** This daemon's rank among the callers of the server. */
	callerRank(server: string): CallerRank {
		return this.#callerRanks.get(server) ?? onlyCaller;
	}

	/** Sets this daemon's rank among the callers of each server. */
	setCallerRanks(callerRanks: ReadonlyMap<string, CallerRank>): void {
		this.#callerRanks = callerRanks;
	}

	/**
	 * Sets the servers that are in service now. A new server is ramped, except those
	 * that are in service when the daemon starts: other daemons already send to them.
	 */
	setServers(servers: readonly string[], now: Millis): void {
		const live = new Set(servers);
		for (const [server, {inFlight}] of this.#gauges) {
			if (!live.has(server) && inFlight === 0) {
				this.#gauges.delete(server);
				this.#evidence.forget(server);
			}
		}

		const previous = this.#liveServers;
		this.#liveServers = live;
		for (const server of servers) {
			if (!previous?.has(server)) {
				this.#gauges.set(server, this.#newGauge(server));
				if (previous) {
					this.ramp(server, 'new', now);
				}
			}
		}
	}

	/** Whether the server is in service. */
	isLive(server: string): boolean {
		return this.#liveServers?.has(server) ?? false;
	}

	/** Records that a request was sent; a paced server gets no further request before `nextSendAt`. */
	recordSend(server: string, now: Millis, nextSendAt: Millis): void {
		this.#gauges.set(server, afterSend(this.get(server), now, nextSendAt));
	}

	/** Records how a request ended. */
	recordEnd(server: string, outcome: Outcome, now: Millis): void {
		const expectedSlowdown = this.#expectedSlowdown(server, now);
		const {baselineMs} = this.get(server);
		this.#evidence.record(server, {outcome, baselineMs, expectedSlowdown});
		const gauge = afterEnd(this.get(server), outcome, now, this.policy);
		this.#gauges.set(server, gauge);
		if (outcome.kind === 'cold') {
			this.ramp(server, 'answered-cold', now);
		} else if (gauge.failures >= this.policy.ejectFailures) {
			this.#eject(server, gauge, now);
		}
	}

	/** Removes and returns the evidence that is strong enough to report to the servers' homes. */
	takeEvidence(): readonly Evidence[] {
		return this.#service?.slowStartMs === 0 ? [] : this.#evidence.take();
	}

	/** Applies the verdict of the server's home on the evidence of all callers. */
	applyVerdict({kind, backendServer}: ColdVerdict, now: Millis): void {
		const gauge = this.get(backendServer);
		if (kind === 'recovered') {
			if (gauge.looksCold) {
				this.#endRamp(backendServer);
			}
		} else if (gauge.rampFrom !== undefined) {
			this.#gauges.set(backendServer, {...gauge, rampFrom: now});
			this.#evidence.forget(backendServer);
		} else if (this.#mayReduceAnother(this.ramping())) {
			this.ramp(backendServer, 'looks-cold', now);
		}
	}

	/** Records what a server's health or load endpoint reported. */
	recordReport(server: string, report: ServerReport, now: Millis): void {
		const gauge = this.get(server);
		const {incarnation = gauge.incarnation, inFlight} = report;
		const next =
			inFlight === undefined ? gauge : afterReport(gauge, inFlight, now);
		const coldSince = report.cold === false ? undefined : gauge.coldSince;
		this.#gauges.set(server, {...next, incarnation, coldSince});
		this.#updateDraining(server, report.draining, now);
		if (gauge.incarnation !== undefined && incarnation !== gauge.incarnation) {
			this.ramp(server, 'restarted', now);
		} else if (report.cold) {
			this.#updateReportedCold(server, now);
		}
	}

	/** Servers that have reported for `ms` or longer that they are draining. */
	draining(now: Millis, ms: Millis): readonly string[] {
		return this.#serversWhere(
			({drainingSince}) =>
				drainingSince !== undefined && now - drainingSince >= ms,
		);
	}

	/** Starts the server's ramp at the lowest share. */
	ramp(server: string, cause: RampCause, now: Millis): void {
		const gauge = this.get(server);
		const looksCold = cause === 'looks-cold';
		this.#gauges.set(server, {...gauge, rampFrom: now, looksCold});
		this.#evidence.forget(server);
		this.#notices.push({kind: 'ramping', backendServer: server, cause});
	}

	/** Ends ramps whose time is over, by the settings of `service`. */
	endFinishedRamps(service: Service, now: Millis): void {
		this.#service = service;
		for (const [server, gauge] of this.#gauges) {
			if (gauge.rampFrom !== undefined && isRampOver(gauge, service, now)) {
				this.#endRamp(server);
			}
		}
	}

	/** Servers ejected at `now` because of failures that this daemon saw. */
	ejected(now: Millis): readonly string[] {
		return this.#serversWhere(({ejectedUntil}) => ejectedUntil > now);
	}

	/** Servers whose share is growing. */
	ramping(): readonly string[] {
		return this.#serversWhere(({rampFrom}) => rampFrom !== undefined);
	}

	/** Removes and returns the notices since the last call. */
	takeNotices(): readonly Notice[] {
		const notices = this.#notices;
		this.#notices = [];
		return notices;
	}

	/**
	 * Keeps a server that reports itself cold at the lowest share, for at most
	 * `maxReportedColdMs`, since a server could report it forever.
	 */
	#updateReportedCold(server: string, now: Millis): void {
		const gauge = this.get(server);
		const {coldSince = now, rampFrom} = gauge;
		this.#gauges.set(server, {...gauge, coldSince});
		if (now - coldSince > this.policy.maxReportedColdMs) {
			return;
		}

		if (rampFrom === undefined) {
			this.ramp(server, 'reported-cold', now);
		} else {
			this.#gauges.set(server, {...gauge, coldSince, rampFrom: now});
		}
	}

	/** A server that reports itself draining gets no new work until it reports otherwise; then it is ramped. */
	#updateDraining(
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

	#serversWhere(predicate: (gauge: Gauge) => boolean): readonly string[] {
		return [...this.#gauges]
			.filter(([, gauge]) => predicate(gauge))
			.map(([server]) => server);
	}

	/** The gauge of a new server, with the median latency of the other servers. */
	#newGauge(server: string): Gauge {
		const gauge = initialGauge(this.policy);
		const latencyMs = this.#median(({latencyMs: ms}) => ms) ?? gauge.latencyMs;
		return {...gauge, latencyMs, inFlight: this.get(server).inFlight};
	}

	/** Ejects a server for a time that doubles with each ejection, unless too many are ejected. */
	#eject(server: string, gauge: Gauge, now: Millis): void {
		if (
			gauge.ejectedUntil > now ||
			!this.#mayReduceAnother(this.ejected(now))
		) {
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

	/** How many times slower than its peers a server that looked cold should be at this point of its ramp. */
	#expectedSlowdown(server: string, now: Millis): number | undefined {
		const gauge = this.get(server);
		return gauge.looksCold && this.#service
			? 1 / rampShare(gauge, this.#service, now)
			: undefined;
	}

	/** Whether one more server may be ejected or ramped without overloading the rest. */
	#mayReduceAnother(reduced: readonly string[]): boolean {
		const max = Math.floor(this.#gauges.size * this.policy.maxEjectedShare);
		return reduced.length < max;
	}

	#median(valueOf: (gauge: Gauge) => number): number | undefined {
		return median([...this.#gauges.values()].map((gauge) => valueOf(gauge)));
	}
}
