/** Stands for reports where daemons have no channel to each other. */
import {type Millis} from '@kingcuproute/core';
import {FleetReports} from './fleet-reports.js';

export class NoFleetReports extends FleetReports {
	override readonly demand = undefined;

	override runTimes(): ReadonlyMap<string, Millis> {
		return new Map();
	}

	override setDemand(): void {
		// Nobody asks for it.
	}
}
