import {type ListedServer} from '../../src/index.js';

/** A warm server of service `s` that is not draining, with the fields of `overrides` replaced. */
export function aServer(
	backendServer: string,
	overrides: Partial<ListedServer> = {},
): ListedServer {
	return {
		backendServer,
		startedAt: 1,
		service: 's',
		address: `${backendServer}:80`,
		failureDomain: 'a',
		slots: 3,
		draining: false,
		coldMs: 0,
		...overrides,
	};
}
