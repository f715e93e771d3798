/**
 * What the daemons of a fleet have observed lately: requests by key, demand by customer and
 * run times of backend servers. Each daemon's newest report counts, once, however often and
 * on whatever way it arrives. Run times come as means of several daemons. Answers the load
 * of key traffic written to the platform's store, where every report is a priced write.
 */
import {type Millis} from '../time/clock.js';
import {type ServiceRates} from './report-plan.js';

export type DaemonReport = {
	readonly vm: string;
	/** Orders the runs of the daemon on its VM, and the reports of a run. */
	readonly run: number;
	readonly seq: number;
	/** When it was made, by the clock of the daemon that holds it. */
	readonly at: Millis;
	/** Requests a second, by customer. */
	readonly demand: ReadonlyMap<string, number>;
	/** Requests a second, by service and key. */
	readonly traffic: ServiceRates;
};

/** The mean over a number of answers. */
export type MeanRunTime = {readonly runMs: Millis; readonly readings: number};

/** By service and server. */
export type ServiceRunTimes = ReadonlyMap<
	string,
	ReadonlyMap<string, MeanRunTime>
>;

/** Requests a second that customers send to the fleet. */
export type FleetDemand = {
	readonly rates: ReadonlyMap<string, number>;
	/** The number of daemons that reported them. */
	readonly daemons: number;
	/** When the newest of their reports was made: each new report makes it later, also while a lost daemon's last one still counts. */
	readonly at: Millis;
};

/** Reports come each second; three may be lost. */
export const reportLifeMs: Millis = 4000;

type Held = {
	readonly report: DaemonReport;
	/** Whether the daemon itself sent it, so that it has to be forwarded. */
	readonly isDirect: boolean;
};

type HeldRunTimes = {readonly times: ServiceRunTimes; readonly at: Millis};

export class ReportBoard {
	readonly #reports = new Map<string, Held>();
	readonly #runTimes = new Map<string, HeldRunTimes>();

	/** Adds a report, unless a newer one of the daemon is known. */
	add(report: DaemonReport, isDirect: boolean): void {
		const known = this.#reports.get(report.vm)?.report;
		if (
			!known ||
			report.run > known.run ||
			(report.run === known.run && report.seq > known.seq)
		) {
			this.#reports.set(report.vm, {report, isDirect});
		}
	}

	/** Replaces the run times that `source` reported. */
	setRunTimes(source: string, times: ServiceRunTimes, at: Millis): void {
		this.#runTimes.set(source, {times, at});
	}

	/** The reports that count. */
	reports(now: Millis): readonly DaemonReport[] {
		return this.#held(now).map(({report}) => report);
	}

	/** Those that the daemons themselves sent here. */
	directReports(now: Millis): readonly DaemonReport[] {
		return this.#held(now)
			.filter(({isDirect}) => isDirect)
			.map(({report}) => report);
	}

	/** Undefined without any report. */
	demand(now: Millis): FleetDemand | undefined {
		const reports = this.reports(now);
		if (reports.length === 0) {
			return undefined;
		}

		const rates = new Map<string, number>();
		for (const {demand} of reports) {
			for (const [customer, rate] of demand) {
				rates.set(customer, (rates.get(customer) ?? 0) + rate);
			}
		}

		const at = Math.max(...reports.map((report) => report.at));
		return {rates, daemons: reports.length, at};
	}

	/** The means over all sources, or over some. */
	runTimes(
		now: Millis,
		isIncluded: (source: string) => boolean = () => true,
	): ServiceRunTimes {
		const total = new Map<string, Map<string, MeanRunTime>>();
		for (const [source, {times, at}] of this.#runTimes) {
			if (now - at >= reportLifeMs) {
				this.#runTimes.delete(source);
			} else if (isIncluded(source)) {
				for (const [service, servers] of times) {
					const sums = total.get(service) ?? new Map<string, MeanRunTime>();
					total.set(service, sums);
					addRunTimes(sums, servers);
				}
			}
		}

		return total;
	}

	#held(now: Millis): readonly Held[] {
		for (const [vm, {report}] of this.#reports) {
			if (now - report.at >= reportLifeMs) {
				this.#reports.delete(vm);
			}
		}

		return [...this.#reports.values()];
	}
}

function addRunTimes(
	sums: Map<string, MeanRunTime>,
	servers: ReadonlyMap<string, MeanRunTime>,
): void {
	for (const [server, {runMs, readings}] of servers) {
		const sum = sums.get(server) ?? {runMs: 0, readings: 0};
		const count = sum.readings + readings;
		const mean = (sum.runMs * sum.readings + runMs * readings) / count;
		sums.set(server, {runMs: mean, readings: count});
	}
}
