/** Owners that the rules force: for rows without one, off servers that are out, and away from unfit targets. */
import {type SliceRow} from '../ownership/slice-table.js';
import {type MoveReason, type WithdrawalReason} from './change.js';
import {type Draft} from './draft.js';
import {Ranking} from './ranking.js';
import {type Fitness} from './server-pool.js';
import {inParts, type Steps} from './steps.js';

/** Rows worked out in one part. */
const partLen = 128;

/** Takes back the intents whose target cannot or need not take the slice. */
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

/** Gives rows without an owner to the first server by rendezvous hash that is below its target. */
export function* assignOwners(draft: Draft): Steps<void> {
	const ranking = Ranking.of(draft.pool.fit);
	// Rows of hot keys get their owners from guardians.
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

/** Plans every slice off servers that are out, all at once; a server that is down as well loses them by its lease. */
export function* planDrains(draft: Draft): Steps<void> {
	const reasons = draft.rows.map((row) => drainReason(draft, row));
	// A cooling row follows its slice.
	const due = [...reasons.keys()].filter(
		(slice) => reasons[slice] && !draft.isCooling(slice),
	);
	yield* inParts(due, partLen, (slice) => {
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

/** The row's standby if it has room, since a loss would choose it too; otherwise the lowest. */
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
