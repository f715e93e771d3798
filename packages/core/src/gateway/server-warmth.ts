/**
 * What a daemon believes about which backend servers are cold: for some time after its
 * start, or after a time without requests, a server can take only a few requests a second.
 */
import {type ListedServer} from './listed-server.js';
import {runKeyOf} from './server-run.js';

/** A server that has become cold, or warm again. */
export type WarmthChange = {
	readonly server: ListedServer;
	readonly isCold: boolean;
};

export class ServerWarmth {
	#cold: ReadonlySet<string> = new Set();

	/** Updates the beliefs with the servers' entries; returns the servers whose entry says otherwise than before. */
	update(servers: readonly ListedServer[]): readonly WarmthChange[] {
		const former = this.#cold;
		this.#cold = new Set(
			servers
				.filter(({coldMs}) => coldMs > 0)
				.map((server) => runKeyOf(server)),
		);
		return servers
			.map((server) => ({server, isCold: server.coldMs > 0}))
			.filter(({server, isCold}) => isCold !== former.has(runKeyOf(server)));
	}
}
