/**
 * The planner computes the next table of a service, if anything has to change. It
 * writes first owners, standbys, planned moves, hot keys and the guards of unguarded
 * servers. It never changes the owner or epoch of a row that has an owner.
 */
import {type SliceTable} from '../ownership/slice-table.js';
import {type Millis} from '../time/clock.js';
import {planBalance} from './balance-plan.js';
import {type Change} from './change.js';
import {
	emptyBudget,
	refilled,
	spent,
	type ChurnBudget,
} from './churn-budget.js';
import {Draft} from './draft.js';
import {guardianDomains} from './guard-domains.js';
import {planGuards} from './guard-plan.js';
import {planHotKeys} from './hot-plan.js';
import {assignOwners, planDrains, withdrawMoves} from './owner-plan.js';
import {type Situation} from './situation.js';
import {runToEnd, type Steps} from './steps.js';
import {planStandbys} from './standby-plan.js';

/** State of a service's planner that is kept from one plan to the next. */
export type PlannerState = {
	readonly budget: ChurnBudget;
	/** True while balancing is in progress, which lowers its threshold to `stopShare`. */
	readonly balancing: boolean;
};

/** The outcome of planning; `table` is undefined if nothing changes. */
export type Plan = {
	readonly table: SliceTable | undefined;
	readonly changes: readonly Change[];
	readonly state: PlannerState;
};

/** The initial state of a planner that starts at `now`. */
export function initialPlannerState(now: Millis): PlannerState {
	return {budget: emptyBudget(now), balancing: false};
}

/** Computes the next table from the situation. */
export function plan(situation: Situation, state: PlannerState): Plan {
	return runToEnd(planInParts(situation, state));
}

/** Like `plan`, but in parts that take a few milliseconds each. */
export function* planInParts(
	situation: Situation,
	state: PlannerState,
): Steps<Plan> {
	const {service, table, now, policy, writer} = situation;
	const draft = new Draft(situation);
	yield;
	const budget = refilled(state.budget, now, policy);
	const {guards, changes: guardChanges} = yield* planGuards(
		situation,
		draft.pool,
	);
	yield;
	withdrawMoves(draft);
	yield;
	yield* assignOwners(draft);
	yield* planDrains(draft);
	yield;
	const hotKeyChanges = planHotKeys(draft, budget.tokens, state.balancing);
	const remaining = budget.tokens - hotKeyChanges;
	const before = draft.changes.length;
	const balancing =
		situation.measured && planBalance(draft, remaining, state.balancing);
	const moves = draft.changes.length - before;
	yield;
	yield* planStandbys(draft, guardianDomains(situation, guards));
	const changes = [...draft.changes, ...guardChanges];
	return {
		table:
			changes.length > 0
				? {
						...table,
						service: service.service,
						rows: draft.rows,
						...(draft.hot.length > 0 && {hot: draft.hot}),
						guards,
						writer,
					}
				: undefined,
		changes,
		state: {budget: spent(budget, hotKeyChanges + moves), balancing},
	};
}
