/**
 * Connections to backend servers, one pool for each address. Idle connections are closed
 * before a device on the path drops their state. When a connection goes silent, its pool
 * is retired: requests in flight finish on it, and new requests get a new pool. A pool is
 * also retired when this daemon's share of the server's connections changes.
 */
import {type Clock, type Millis} from '@kingcuproute/core';
import {buildConnector, Pool, type Dispatcher} from 'undici';
import {type Settings} from '../settings/settings.js';
import {ServerConnection} from './server-connection.js';

/** A pool younger than this is not retired because a connection went silent. */
const minRetireMs: Millis = 200;
const tcpKeepAliveMs: Millis = 1000;
const closeThresholdMs: Millis = 500;
/** Bytes on the wire per byte that undici counts of the headers: a field of one byte takes four. */
const maxFieldRatio = 4;
const resetCode = 'SERVER_RESET';

/** Bytes that a connection reads while nobody takes them, besides the read under way of up to 64 KB: thousands of answers may wait for slow callers. */
const readAheadLen = 4096;

/** Limits of connections to backend servers. */
export type ConnectionBounds = Pick<
	Settings['requests'],
	'maxConnections' | 'connectMs' | 'serverIdleMs' | 'maxHeaderLen'
>;

type PoolEntry = {
	readonly pool: Pool;
	readonly openedAt: Millis;
	/** The most connections that the pool may have. */
	readonly size: number;
};

export class ServerConnections {
	readonly #pools = new Map<string, PoolEntry>();
	#endIsReset = false;

	constructor(
		private readonly settings: ConnectionBounds,
		private readonly clock: Clock,
	) {}

	/** Whether the connection end that is being reported right now is a reset. */
	get endIsReset(): boolean {
		return this.#endIsReset;
	}

	/**
	 * The dispatcher for `address`, with at most `maxConnections` connections and never
	 * more than the settings allow.
	 */
	to(address: string, maxConnections: number): Dispatcher {
		const size = Math.min(maxConnections, this.settings.maxConnections);
		const current = this.#pools.get(address);
		if (current?.size === size) {
			return current.pool;
		}

		const pool = this.#open(address, size);
		const openedAt = this.clock.now();
		this.#pools.set(address, {pool, openedAt, size});
		void current?.pool.close();
		return pool;
	}

	/** Retires `pool` if it is the current pool of `address` and not too young; true if it was retired. */
	retire(address: string, pool: Dispatcher): boolean {
		const current = this.#pools.get(address);
		if (
			current?.pool !== pool ||
			this.clock.now() - current.openedAt < minRetireMs
		) {
			return false;
		}

		this.#pools.delete(address);
		void current.pool.close();
		return true;
	}

	/** Closes the connections to all addresses but `addresses`. */
	retainOnly(addresses: ReadonlySet<string>): void {
		for (const [address, {pool}] of this.#pools) {
			if (!addresses.has(address)) {
				this.#pools.delete(address);
				void pool.close();
			}
		}
	}

	/** Closes every connection and aborts the requests in flight. */
	async close(): Promise<void> {
		const pools = [...this.#pools.values()].map(({pool}) => pool);
		this.#pools.clear();
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
	 * Undici treats some resets as the regular end of an answer without a length. Where a
	 * reset is reported as an error, undici goes by the error code, so that is replaced.
	 * A reset that arrives together with the answer's last bytes is reported by libuv as
	 * an end of the stream; it is recognized by the socket having no remote address.
	 */
	#connector(timeout: Millis): buildConnector.connector {
		const options = {
			timeout,
			highWaterMark: readAheadLen,
			keepAlive: true,
			keepAliveInitialDelay: tcpKeepAliveMs,
		};
		const connect = buildConnector(options);
		return (options, callback) => {
			connect(options, (...result) => {
				const [, socket] = result;
				socket?.prependListener('error', (error: NodeJS.ErrnoException) => {
					if (error.code === 'ECONNRESET') {
						error.code = resetCode;
					}
				});
				socket?.prependListener('end', () => {
					this.#endIsReset = socket.remoteAddress === undefined;
					queueMicrotask(() => {
						this.#endIsReset = false;
					});
				});
				callback(...result);
			});
		};
	}
}
