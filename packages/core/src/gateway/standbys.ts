/**
 * Which daemons stand by to take over from a keeper at once. They watch every beat of its
 * lease; the others look now and then, and take seconds longer to find that it has
 * expired. Answers the loss of a failure domain together with the keeper in it: the
 * standbys are in different domains, so that some are left. All daemons choose alike.
 */

export type RegisteredDaemon = {
	readonly vm: string;
	readonly failureDomain: string;
};

const standbyCount = 3;

/** The VMs of the standbys. */
export function chooseStandbys(
	daemons: readonly RegisteredDaemon[],
): ReadonlySet<string> {
	const byDomain = new Map<string, string[]>();
	for (const {vm, failureDomain} of daemons) {
		const vms = byDomain.get(failureDomain) ?? [];
		vms.push(vm);
		byDomain.set(failureDomain, vms);
	}

	const ranked = [...byDomain].flatMap(([failureDomain, vms]) =>
		vms.sort().map((vm, rank) => ({vm, failureDomain, rank})),
	);
	ranked.sort(
		(a, b) => a.rank - b.rank || (a.failureDomain < b.failureDomain ? -1 : 1),
	);
	return new Set(ranked.slice(0, standbyCount).map(({vm}) => vm));
}
