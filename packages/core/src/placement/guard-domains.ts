/** The failure domain of each backend server's guardian, after planned handovers. */
import {type Guard} from '../ownership/slice-table.js';
import {plannedPair} from './guard-pair.js';
import {type Situation} from './situation.js';

/** Failure domains of guardians, by backend server; undefined for a daemon that does not respond. */
export type GuardianDomains = ReadonlyMap<string, string | undefined>;

export function guardianDomains(
	{daemons}: Situation,
	guards: Readonly<Record<string, Guard>>,
): GuardianDomains {
	const domains = new Map(
		daemons.map(({id, failureDomain}) => [id, failureDomain]),
	);
	return new Map(
		Object.entries(guards).map(([server, guard]) => [
			server,
			domains.get(plannedPair(guard).guardian),
		]),
	);
}
