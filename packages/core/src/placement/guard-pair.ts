/** The pair of daemons of a guard: the planned pair, and guards that the planner writes. */
import {type Guard} from '../ownership/slice-table.js';

/** The guardian and its successor. */
export type GuardPair = Pick<Guard, 'guardian' | 'successor'>;

/** A new guard with this pair, in the next term. It lists the former daemons, since leases that they granted may still be valid. */
export function guardWithPair(
	guard: Guard | undefined,
	pair: GuardPair,
): Guard {
	if (!guard) {
		return {term: 1, incarnation: '', ...pair};
	}

	const {next, ...rest} = guard;
	const former = new Set([
		...(guard.former ?? []),
		guard.guardian,
		guard.successor,
	]);
	for (const id of [pair.guardian, pair.successor, '']) {
		former.delete(id);
	}

	return {...rest, ...pair, term: guard.term + 1, former: [...former].sort()};
}

/** The pair after the planned handover, or the present pair if none is planned. */
export function plannedPair(guard: Guard): GuardPair {
	return guard.next ?? guard;
}

/** Whether both pairs consist of the same daemons. */
export function isSamePair(a: GuardPair, b: GuardPair): boolean {
	return a.guardian === b.guardian && a.successor === b.successor;
}
