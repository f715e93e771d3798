import {type ListedServer} from '../../src/index.js';

/** A warm server of service `s`, in use, but for what `differs`. */
export function aServer(
	backendServer: string,
	differs: Partial<ListedServer> = {},
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
		...differs,
	};
}
