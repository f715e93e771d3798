/** The two daemons of a guard: as they are, as they are wished, and as the planner writes them. */
import {type Guard} from '../ownership/slice-table.js';

/** The two daemons of a guard. */
export type GuardPair = Pick<Guard, 'guardian' | 'successor'>;

/** A guard of the planner's own; it remembers who had power before, whose leases may still run. */
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
	for (const known of [pair.guardian, pair.successor, '']) {
		former.delete(known);
	}

	return {...rest, ...pair, term: guard.term + 1, former: [...former].sort()};
}

/** The daemons that the guard is to have. */
export function plannedPair(guard: Guard): GuardPair {
	return guard.next ?? guard;
}

/** Whether both name the same daemons. */
export function isSamePair(a: GuardPair, b: GuardPair): boolean {
	return a.guardian === b.guardian && a.successor === b.successor;
}
