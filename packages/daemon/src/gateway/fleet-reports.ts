/** What all daemons report to each other: run times of backend servers and customers' demand. */
import {type Millis} from '@kingcuproute/core';

/** The customers' demand over the fleet, as far as reports show it. */
export type FleetDemand = {
	/** Requests a second, by customer. */
	readonly rates: ReadonlyMap<string, number>;
	/** How many daemons' reports the rates contain. */
	readonly daemons: number;
	/** When this daemon received them. */
	readonly at: Millis;
};

export abstract class FleetReports {
	/** Undefined until a report has been received. */
	abstract get demand(): FleetDemand | undefined;

	/** How long requests of a service run, by backend server, measured by all daemons. */
	abstract runTimes(service: string): ReadonlyMap<string, Millis>;

	/** Sets what this daemon reports: its requests a second, by customer. */
	abstract setDemand(source: () => ReadonlyMap<string, number>): void;
}
