/**
 * The planner: the next table of a service, or nothing to do. It writes first
 * owners, standbys, intents to move, names of hot keys and guards of unguarded
 * servers; it never changes the owner or epoch of a row that has an owner.
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

/** What the planner of a service carries from one plan to the next. */
export type PlannerState = {
	readonly budget: ChurnBudget;
	/** True while a run of moves for balance is under way. */
	readonly balancing: boolean;
};

/** A plan; `table` is absent when there is nothing to do. */
export type Plan = {
	readonly table: SliceTable | undefined;
	readonly changes: readonly Change[];
	readonly state: PlannerState;
};

/** The state of a planner that begins at `now`. */
export function newPlanner(now: Millis): PlannerState {
	return {budget: emptyBudget(now), balancing: false};
}

/** Works out the next table from the situation. */
export function plan(situation: Situation, state: PlannerState): Plan {
	return runToEnd(planInParts(situation, state));
}

/** The same in parts of a few milliseconds. */
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
	const hot = planHotKeys(draft, budget.tokens, state.balancing);
	const left = budget.tokens - hot;
	const before = draft.changes.length;
	const balancing =
		situation.measured && planBalance(draft, left, state.balancing);
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
		state: {budget: spent(budget, hot + moves), balancing},
	};
}
