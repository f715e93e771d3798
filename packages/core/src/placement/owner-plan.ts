/**
 * Ownership changes that do not depend on load: owners for rows that have none, moves
 * off servers that are out, and cancelled moves to servers that are no longer fit.
 */
import {type SliceRow} from '../ownership/slice-table.js';
import {type MoveReason, type WithdrawalReason} from './change.js';
import {type Draft} from './draft.js';
import {Ranking} from './ranking.js';
import {type Fitness} from './server-pool.js';
import {inParts, type Steps} from './steps.js';

/** Rows processed in one part. */
const partLen = 128;

/** Cancels planned moves whose target cannot take the slice, or already owns it. */
export function withdrawMoves(draft: Draft): void {
	for (const [slice, row] of draft.rows.entries()) {
		const {to, ...rest} = row;
		const reason = to === undefined ? undefined : withdrawalReason(draft, row);
		if (to !== undefined && reason) {
			draft.change(slice, rest, {
				kind: 'withdraw',
				slice,
				from: row.owner,
				to,
				reason,
			});
		}
	}
}

/**
 * Assigns each slice without an owner to the server that rendezvous hashing ranks
 * highest among those with room below their load target.
 */
export function* assignOwners(draft: Draft): Steps<void> {
	const ranking = Ranking.of(draft.pool.fit);
	// Guardians assign the owners of hot keys' rows.
	const unowned = [...draft.rows.keys()]
		.slice(0, draft.situation.service.slices)
		.filter((slice) => draft.rows[slice].owner === '');
	yield* inParts(unowned, partLen, (slice) => {
		assignOne(draft, ranking, slice);
	});
}

function assignOne(draft: Draft, ranking: Ranking, slice: number): void {
	const row = draft.rows[slice];
	const weight = draft.weights[slice];
	const {service} = draft.situation.service;
	const to =
		ranking.first(`${service}/${slice}`, (name) =>
			hasRoom(draft, name, weight),
		) ?? draft.leastLoadedWith(weight);
	if (to !== undefined) {
		const epoch = row.epoch + 1;
		draft.change(
			slice,
			{...row, owner: to, epoch},
			{kind: 'assign', slice, to},
		);
	}
}

function hasRoom(draft: Draft, name: string, weight: number): boolean {
	return draft.loadRatio(name, weight / 2) <= 1;
}

/**
 * Plans a move of every slice off servers that are out, without a limit on their
 * number. A server that is also down loses its slices when its lease expires.
 */
export function* planDrains(draft: Draft): Steps<void> {
	const reasons = draft.rows.map((row) => drainReason(draft, row));
	// The row of a key that returns to its slice follows the slice instead.
	const draining = [...reasons.keys()].filter(
		(slice) => reasons[slice] && !draft.isCooling(slice),
	);
	yield* inParts(draining, partLen, (slice) => {
		const row = draft.rows[slice];
		const {owner: from} = row;
		const to = chooseTarget(draft, slice, row);
		if (to !== undefined) {
			draft.change(
				slice,
				{...row, to},
				{kind: 'move', slice, from, to, reason: reasons[slice]!},
			);
		}
	});
}

function drainReason(
	{pool}: Draft,
	{owner, to}: SliceRow,
): MoveReason | undefined {
	return owner && to === undefined && !pool.isDown(owner)
		? drainReasons[pool.fitness(owner)]
		: undefined;
}

const drainReasons: Readonly<Partial<Record<Fitness, MoveReason>>> = {
	'server-out': 'server-out',
	'domain-out': 'domain-out',
	'server-removed': 'server-removed',
};

const withdrawalReasons: Readonly<
	Record<Fitness, WithdrawalReason | undefined>
> = {
	fit: undefined,
	down: 'target-down',
	'server-out': 'target-out',
	'domain-out': 'target-out',
	'server-removed': 'target-removed',
};

function withdrawalReason(
	{pool}: Draft,
	{owner, to}: SliceRow,
): WithdrawalReason | undefined {
	return to === owner ? 'already-there' : withdrawalReasons[pool.fitness(to!)];
}

/** The row's standby if it has room, since failover would choose it too; otherwise the server with the lowest load ratio. */
function chooseTarget(
	draft: Draft,
	slice: number,
	{standby}: SliceRow,
): string | undefined {
	const weight = draft.weights[slice];
	const {stopShare} = draft.situation.policy;
	const hasRoom =
		draft.pool.receivers.includes(standby) &&
		draft.loadRatio(standby, weight) <= 1 + stopShare;
	return hasRoom ? standby : draft.leastLoadedWith(weight);
}
