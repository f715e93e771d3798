/**
 * Moves for balance, by measured load, within the churn budget: from the server
 * highest above its target to the one lowest below, the heaviest slice that
 * overshoots neither. Each move lowers the greater ratio of the two, so that a
 * run of moves cannot go round. A server that a hot key waits to get its own row on
 * gives nothing away before it has.
 */
import {type Draft, minBy} from './draft.js';

/** Plans up to `budget` moves; gives whether balancing goes on next time. */
export function planBalance(
	draft: Draft,
	budget: number,
	balancing: boolean,
): boolean {
	const {startShare, stopShare} = draft.situation.policy;
	const bound = balancing ? stopShare : startShare;
	if (!isUnbalanced(draft, bound)) {
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

/** Rows on no move, by owner. */
type MovableRows = ReadonlyMap<string, Set<number>>;

function movableByOwner(draft: Draft): MovableRows {
	const tied = draft.rowsHeldForHotKeys();
	const movable = new Map<string, Set<number>>();
	for (const [slice, {owner, to}] of draft.rows.entries()) {
		if (to === undefined && !tied.has(slice)) {
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
 * The heaviest slice that neither leaves the donor below target nor puts the receiver
 * above; or a hot key's row that lowers the greater ratio of both by more, although it
 * overshoots: one key then moves instead of many slices. Where there is neither, the
 * lightest slice that still helps.
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
	const least = fitting === undefined ? 0 : gain(draft, fitting, ends);
	const hot = bestHotRow(draft, movable, ends);
	if (hot !== undefined && gain(draft, hot, ends) > least) {
		return hot;
	}

	const lightest = minBy(movable, weight);
	const helps =
		lightest !== undefined &&
		draft.loadRatio(to, weight(lightest)) + minGain < draft.loadRatio(from);
	return fitting ?? (helps ? lightest : undefined);
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

/** By how much the greater ratio of both falls if the row moves. */
function gain(draft: Draft, row: number, {from, to}: MoveEnds): number {
	const weight = draft.weights[row];
	const after = Math.max(
		draft.loadRatio(from, -weight),
		draft.loadRatio(to, weight),
	);
	return draft.loadRatio(from) - after;
}

/** A move that evens the two by less is not worth the change of owner, nor above the noise of counting. */
const minGain = 0.1;
