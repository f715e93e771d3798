/** What a daemon remembers about a service while it is that service's planner. */
import {View, type Millis, type PlannerState} from '@kingcuproute/core';
import {type Member} from '../fleet/identity.js';
import {type Reports} from './reports.js';

export type Planning = {
	readonly reports: Reports;
	readonly state: PlannerState;
	/** Names of the servers, joined by spaces; they have been the same since `since`. */
	readonly servers: string;
	readonly since: Millis;
	readonly last: LastPlan;
};

/** When the last plan was computed and from which input. While that is the same and the plan found nothing to change, planning pauses for a while. */
export type LastPlan = {
	readonly at: Millis;
	readonly view: View;
	readonly members: readonly Member[];
	readonly down: string;
	readonly foundNothing: boolean;
};

/** The value before the first plan. */
export const neverPlanned: LastPlan = {
	at: 0,
	view: View.empty,
	members: [],
	down: '',
	foundNothing: false,
};
