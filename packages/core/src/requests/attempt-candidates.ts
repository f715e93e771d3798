/** The servers that the next attempt of a request may go to. */
import {type BackendServer} from '../config/backend-server.js';
import {preferUntried} from './untried.js';

/** What restricts the choice of a server. */
export type AttemptConditions = {
	/** Servers that earlier attempts of the request went to. */
	readonly tried: readonly BackendServer[];
	/** Names of servers that get no requests for a while after failures. */
	readonly ejected: readonly string[];
	/** Whether this request may be in flight at the server beside those that are. */
	readonly isAllowed: (server: BackendServer) => boolean;
};

/**
 * The untried candidates that are not ejected and allowed, in other failure domains if
 * possible; empty if the request has to wait until one is allowed. Ejected servers count
 * only if all are ejected: a request that is not allowed elsewhere would wait for them.
 */
export function attemptCandidates(
	candidates: readonly BackendServer[],
	{tried, ejected, isAllowed}: AttemptConditions,
): readonly BackendServer[] {
	const inUse = candidates.filter(
		({backendServer}) => !ejected.includes(backendServer),
	);
	const usable = inUse.length > 0 ? inUse : candidates;
	return preferUntried(usable, tried).filter((server) => isAllowed(server));
}
