/** Directs another attempt away from the servers and failure domains already tried. */
import {type BackendServer} from '../config/backend-server.js';

/**
 * The candidates for the next attempt after those at `tried`: servers in other failure
 * domains if there are any, else other servers, else all candidates.
 */
export function preferUntried(
	candidates: readonly BackendServer[],
	tried: readonly BackendServer[],
): readonly BackendServer[] {
	if (tried.length === 0) {
		return candidates;
	}

	const domains = new Set(tried.map(({failureDomain}) => failureDomain));
	const names = new Set(tried.map(({backendServer}) => backendServer));
	const inOtherDomains = candidates.filter(
		({failureDomain}) => !domains.has(failureDomain),
	);
	if (inOtherDomains.length > 0) {
		return inOtherDomains;
	}

	const others = candidates.filter(
		({backendServer}) => !names.has(backendServer),
	);
	return others.length > 0 ? others : candidates;
}
