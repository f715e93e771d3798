/** One planner that hears reports and whose plans are carried out within a turn, and how even the load is by it. */
import {
	hotRows,
	LoadWindow,
	initialPlannerState,
	plan,
	sliceOf,
	type LoadReport,
	type Millis,
	type PlannerState,
	type Situation,
	type SliceTable,
} from '@kingcuproute/core';
import {carriedOut} from './carried-out.js';

export class HotRun {
	moves = 0;
	named = 0;
	mostRows = 0;
	#window = LoadWindow.startingAt(0);
	#state: PlannerState = initialPlannerState(0);
	#table: SliceTable | undefined;

	constructor(
		private readonly start: Situation,
		private readonly rows: number,
	) {}

	hear(report: LoadReport, now: Millis): void {
		const {slices} = this.start.service;
		this.#window = this.#window.withReport(report, slices, now);
	}

	/** Plans once and carries it out. */
	turn(now: Millis): void {
		const policy = {...this.start.policy, hotRows: this.rows};
		const situation = {
			...this.start,
			policy,
			table: this.#table,
			loads: this.#window.loads(now),
			keys: this.#window.keys(now),
			measured: this.#window.isWarm(now),
			now,
		};
		const next = plan(situation, this.#state);
		this.#state = next.state;
		this.#table = next.table ? carriedOut(next.table) : this.#table;
		for (const {kind} of next.changes) {
			this.moves += kind === 'move' ? 1 : 0;
			this.named += kind === 'heat' ? 1 : 0;
		}

		this.mostRows = Math.max(this.mostRows, hotRows(this.#table!).size);
	}

	/** What the most loaded server bears, when slices and keys have these parts of all requests. */
	most(slices: readonly number[], shareOf: (key: string) => number): number {
		const table = this.#table!;
		const rows = [...slices];
		for (const [key, row] of hotRows(table)) {
			rows[row] = shareOf(key);
			rows[sliceOf(key, slices.length)] -= rows[row];
		}

		const sums = new Map<string, number>();
		for (const [row, {owner}] of table.rows.entries()) {
			sums.set(owner, (sums.get(owner) ?? 0) + (rows[row] ?? 0));
		}

		return Math.max(...sums.values());
	}
}
