/**
 * Connections to backend servers. Idle ones are closed before anything on the way
 * can lose track of them. When one goes silent, all that were opened with it to that
 * address are retired: they finish what they carry, and new requests get fresh ones.
 * Those that were opened for another share of a server's connections are retired too.
 */
import {type Clock, type Millis} from '@kingcuproute/core';
import {buildConnector, Pool, type Dispatcher} from 'undici';
import {type Settings} from '../settings/settings.js';
import {ServerConnection} from './server-connection.js';

/** Connections to one address are not replaced again within this time. */
const minRetireMs: Millis = 200;
const tcpKeepAliveMs: Millis = 1000;
const closeThresholdMs: Millis = 500;
/** A field of one byte takes four. */
const maxFieldRatio = 4;
const resetCode = 'SERVER_RESET';

/** Bounds of connections to backend servers. */
export type ConnectionBounds = Pick<
	Settings['requests'],
	'maxConnections' | 'connectMs' | 'serverIdleMs' | 'maxHeaderLen'
>;

type Generation = {
	readonly pool: Pool;
	readonly openedAt: Millis;
	/** Connections that it may have. */
	readonly size: number;
};

export class ServerConnections {
	readonly #generations = new Map<string, Generation>();
	#endsReset = false;

	constructor(
		private readonly settings: ConnectionBounds,
		private readonly clock: Clock,
	) {}

	/** Whether the end of a connection that is being reported right now was a reset. */
	get endsReset(): boolean {
		return this.#endsReset;
	}

	/** The way to `address` over at most `most` connections, and never more than the settings allow. */
	to(address: string, most: number): Dispatcher {
		const size = Math.min(most, this.settings.maxConnections);
		const known = this.#generations.get(address);
		if (known?.size === size) {
			return known.pool;
		}

		const pool = this.#open(address, size);
		const openedAt = this.clock.now();
		this.#generations.set(address, {pool, openedAt, size});
		void known?.pool.close();
		return pool;
	}

	/** Gives new requests fresh connections if `pool` still stands for `address`; tells whether it did. */
	retire(address: string, pool: Dispatcher): boolean {
		const known = this.#generations.get(address);
		if (
			known?.pool !== pool ||
			this.clock.now() - known.openedAt < minRetireMs
		) {
			return false;
		}

		this.#generations.delete(address);
		void known.pool.close();
		return true;
	}

	/** Closes the connections to addresses that are no longer any server's. */
	keep(addresses: ReadonlySet<string>): void {
		for (const [address, {pool}] of this.#generations) {
			if (!addresses.has(address)) {
				this.#generations.delete(address);
				void pool.close();
			}
		}
	}

	/** Ends every connection. */
	async close(): Promise<void> {
		const pools = [...this.#generations.values()].map(({pool}) => pool);
		this.#generations.clear();
		await Promise.all(pools.map(async (pool) => pool.destroy()));
	}

	#open(address: string, connections: number): Pool {
		const {connectMs, serverIdleMs, maxHeaderLen} = this.settings;
		const connector = this.#connector(connectMs);
		return new Pool(`http://${address}`, {
			connections,
			pipelining: 1,
			keepAliveTimeout: serverIdleMs,
			keepAliveMaxTimeout: serverIdleMs,
			keepAliveTimeoutThreshold: closeThresholdMs,
			maxHeaderSize: maxHeaderLen,
			factory: (origin, options) =>
				ServerConnection.to(origin, {
					...options,
					connect: connector,
					maxFramingLen: maxHeaderLen * maxFieldRatio,
				}),
		});
	}

	/**
	 * Undici takes some resets for the proper end of an answer without a length: those
	 * that are reported as errors, by their code, and those that arrive together with
	 * the answer's last bytes, which libuv reports as an end. The latter leave a socket
	 * without a peer.
	 */
	#connector(timeout: Millis): buildConnector.connector {
		const connect = buildConnector({
			timeout,
			keepAlive: true,
			keepAliveInitialDelay: tcpKeepAliveMs,
		});
		return (options, callback) => {
			connect(options, (...result) => {
				const [, socket] = result;
				socket?.prependListener('error', (error: NodeJS.ErrnoException) => {
					if (error.code === 'ECONNRESET') {
						error.code = resetCode;
					}
				});
				socket?.prependListener('end', () => {
					this.#endsReset = socket.remoteAddress === undefined;
					queueMicrotask(() => {
						this.#endsReset = false;
					});
				});
				callback(...result);
			});
		};
	}
}
