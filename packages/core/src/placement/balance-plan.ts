/**
 * Balances the measured load within the churn budget. Each move takes the heaviest
 * slice that fits from the server furthest above its target to the one furthest below,
 * and lowers the higher load ratio of the two, so that moves cannot form a cycle. A
 * server with a hot key that waits for its own row gives no slices away until the key
 * has the row.
 */
import {type Draft, minBy} from './draft.js';

/** Plans up to `budget` moves; returns whether the next plan should continue balancing. */
export function planBalance(
	draft: Draft,
	budget: number,
	balancing: boolean,
): boolean {
	const {startShare, stopShare} = draft.situation.policy;
	const threshold = balancing ? stopShare : startShare;
	if (!isUnbalanced(draft, threshold)) {
		return false;
	}

	const movable = movableByOwner(draft);
	const waiting = draft.ownersAwaitingHotRows();
	for (let left = Math.floor(budget); left > 0; left--) {
		if (!isUnbalanced(draft, stopShare)) {
			return false;
		}

		if (!planMove(draft, movable, waiting)) {
			return waiting.size > 0;
		}
	}

	return true;
}

function isUnbalanced(draft: Draft, share: number): boolean {
	return draft.pool.fit.some(
		(name) => Math.abs(draft.loadRatio(name) - 1) > share,
	);
}

/** Rows that may move, by owner. */
type MovableRows = ReadonlyMap<string, Set<number>>;

function movableByOwner(draft: Draft): MovableRows {
	const held = draft.rowsHeldForHotKeys();
	const movable = new Map<string, Set<number>>();
	for (const [slice, {owner, to}] of draft.rows.entries()) {
		if (to === undefined && !held.has(slice)) {
			const slices = movable.get(owner) ?? new Set();
			movable.set(owner, slices.add(slice));
		}
	}

	return movable;
}

function planMove(
	draft: Draft,
	movable: MovableRows,
	waiting: ReadonlySet<string>,
): boolean {
	const {fit, receivers: takers} = draft.pool;
	const donors = fit
		.filter((name) => draft.loadRatio(name) > 1 && !waiting.has(name))
		.sort((a, b) => draft.loadRatio(b) - draft.loadRatio(a));
	const to = minBy(takers, (name) => draft.loadRatio(name));
	if (to === undefined) {
		return false;
	}

	for (const from of donors) {
		const slices = movable.get(from) ?? new Set<number>();
		const slice = bestSlice(draft, [...slices], {from, to});
		if (slice !== undefined) {
			slices.delete(slice);
			draft.change(
				slice,
				{...draft.rows[slice], to},
				{kind: 'move', slice, from, to, reason: 'balance'},
			);
			return true;
		}
	}

	return false;
}

type MoveEnds = {readonly from: string; readonly to: string};

/**
 * The heaviest slice that fits: its move leaves the donor at or above its target and
 * the receiver at or below. A hot key's row that overshoots is preferred if it lowers
 * the higher load ratio of the two by more, since one key then moves instead of many
 * slices. If neither exists, the lightest slice whose move is still an improvement.
 */
function bestSlice(
	draft: Draft,
	movable: readonly number[],
	ends: MoveEnds,
): number | undefined {
	const {from, to} = ends;
	const room = Math.min(
		(draft.loadRatio(from) - 1) * draft.targets.get(from)!,
		(1 - draft.loadRatio(to)) * draft.targets.get(to)!,
	);
	const weight = (slice: number) => draft.weights[slice];
	const fitting = minBy(
		movable.filter((slice) => weight(slice) <= room),
		(slice) => -weight(slice),
	);
	const fittingGain = fitting === undefined ? 0 : gain(draft, fitting, ends);
	const hot = bestHotRow(draft, movable, ends);
	if (hot !== undefined && gain(draft, hot, ends) > fittingGain) {
		return hot;
	}

	const lightest = minBy(movable, weight);
	const improves =
		lightest !== undefined &&
		draft.loadRatio(to, weight(lightest)) + minGain < draft.loadRatio(from);
	return fitting ?? (improves ? lightest : undefined);
}

function bestHotRow(
	draft: Draft,
	movable: readonly number[],
	ends: MoveEnds,
): number | undefined {
	return minBy(
		movable.filter(
			(row) => row >= draft.slices && gain(draft, row, ends) > minGain,
		),
		(row) => -gain(draft, row, ends),
	);
}

/** By how much the higher load ratio of the two servers falls if the row moves. */
function gain(draft: Draft, row: number, {from, to}: MoveEnds): number {
	const weight = draft.weights[row];
	const after = Math.max(
		draft.loadRatio(from, -weight),
		draft.loadRatio(to, weight),
	);
	return draft.loadRatio(from) - after;
}

/** A smaller gain is not worth a change of owner, and is within the noise of the counts. */
const minGain = 0.1;
