/** Identifies one run of a backend server: a server that starts again, even under its former id, is another run. */
import {type ListedServer} from './listed-server.js';

export type ServerRun = Pick<ListedServer, 'backendServer' | 'startedAt'>;

/** A key for maps. */
export function runKeyOf({backendServer, startedAt}: ServerRun): string {
	return `${backendServer}\n${startedAt}`;
}
