/** The failure domain of each backend server's guardian, once wishes are carried out. */
import {type Guard} from '../ownership/slice-table.js';
import {plannedPair} from './guard-pair.js';
import {type Situation} from './situation.js';

/** Domains of guardians, by backend server; a daemon that is not known has none. */
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
