/** What the daemons of the fleet report to each other, as routing and limits read it. */
import {type FleetDemand, type Millis} from '@kingcuproute/core';

export abstract class FleetReports {
	/** The customers' demand over all daemons; undefined while nothing recent is known. */
	abstract get demand(): FleetDemand | undefined;

	/** How long requests of a service run at its servers, as the mean of the daemons; empty while nothing recent is known. */
	abstract runTimes(service: string): ReadonlyMap<string, Millis>;

	/** Sets where this daemon's demand by customer, in requests a second, is read from. */
	abstract setDemand(source: () => ReadonlyMap<string, number>): void;
}
