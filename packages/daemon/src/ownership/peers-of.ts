/** The daemons and servers that a guardian may choose from, in other failure domains where possible. */
import {
	rendezvous,
	type BackendServer,
	type Member,
	type View,
} from '@kingcuproute/core';

/** What a guardian may choose from for one server, as of one view and one list of members. */
export type EligiblePeers = {
	readonly view: View;
	readonly members: readonly Member[];
	/** Daemons eligible as successor, best first. */
	readonly candidates: readonly string[];
	/** Servers that may take the server's slices. */
	readonly servers: readonly string[];
};

/** What the guardian `self` may choose from for `server`. */
export function eligiblePeers(
	view: View,
	members: readonly Member[],
	server: string,
	self: Pick<Member, 'id' | 'failureDomain'>,
): EligiblePeers {
	const backendServer = view.get('backend-server', server);
	const candidates = backendServer
		? successorCandidates(view, members, backendServer, self)
		: [];
	const servers = backendServer ? takeoverServers(view, backendServer) : [];
	return {view, members, candidates, servers};
}

/** Daemons that may become successor for `server`, guarded by `guardian`; best first. */
function successorCandidates(
	view: View,
	members: readonly Member[],
	server: BackendServer,
	guardian: Pick<Member, 'id' | 'failureDomain'>,
): readonly string[] {
	const inService = members.filter(
		({id, vm, failureDomain}) =>
			id !== guardian.id &&
			!view.get('vm', vm)?.out &&
			!view.get('failure-domain', failureDomain)?.out,
	);
	const outsideServerDomain = inService.filter(
		({failureDomain}) => failureDomain !== server.failureDomain,
	);
	const outsideBothDomains = outsideServerDomain.filter(
		({failureDomain}) => failureDomain !== guardian.failureDomain,
	);
	const preferred =
		[outsideBothDomains, outsideServerDomain, inService].find(
			(group) => group.length > 0,
		) ?? [];
	return rendezvous(
		`${server.backendServer}/successor`,
		preferred.map(({id}) => id),
	);
}

/** Servers that may take over slices of a lost server: those in other failure domains, or any if there are none. */
function takeoverServers(view: View, lost: BackendServer): readonly string[] {
	const inService = view
		.all('backend-server')
		.filter(
			(server) =>
				server.service === lost.service &&
				server.backendServer !== lost.backendServer &&
				!server.out &&
				!view.get('failure-domain', server.failureDomain)?.out,
		);
	const outsideDomain = inService.filter(
		({failureDomain}) => failureDomain !== lost.failureDomain,
	);
	return (outsideDomain.length > 0 ? outsideDomain : inService).map(
		({backendServer}) => backendServer,
	);
}
