/**
 * A connection to a backend server, reopened whenever it has ended. A faulty server may
 * write an earlier refusal a second time. If the refused request is retried on the same
 * connection, its id does not show which of the two attempts that refusal answers. So a
 * connection on which a request was declined is closed before a request with the same
 * id is sent over it.
 */
import {type Socket} from 'node:net';
import {hash32} from '@kingcuproute/core';
import {BoundedClient, type BoundedOptions} from '@kingcuproute/platform';
import {type buildConnector, type Dispatcher} from 'undici';

/** A connection that has to remember this many declined requests is reopened. */
const maxDeclined = 1000;

/** A request with the id that answers to it carry. */
export type IdentifiedRequest = Dispatcher.DispatchOptions & {
	readonly id: string;
	/** Called with the connection over which the request is sent. */
	readonly onConnection: (connection: ServerConnection) => void;
};

type CurrentSocket = {socket?: Socket};

export class ServerConnection extends BoundedClient {
	static to(origin: URL, options: BoundedOptions): ServerConnection {
		const current: CurrentSocket = {};
		const connect: buildConnector.connector = (to, callback) => {
			options.connect(to, (...result) => {
				current.socket = result[1] ?? undefined;
				callback(...result);
			});
		};

		return new ServerConnection(origin, {...options, connect}, current);
	}

	/** Hashes of the ids of requests that were declined since the connection was opened. */
	readonly #declined = new Set<number>();

	private constructor(
		origin: URL,
		options: BoundedOptions,
		private readonly current: CurrentSocket,
	) {
		super(origin, options);
		this.on('disconnect', () => {
			this.#declined.clear();
		});
	}

	override dispatch(
		request: IdentifiedRequest,
		handler: Dispatcher.DispatchHandler,
	): boolean {
		if (this.#mustReopen(request.id)) {
			this.current.socket?.destroy();
		}

		request.onConnection(this);
		return super.dispatch(request, handler);
	}

	/** Records that the server declined a request sent over this connection. */
	declined(id: string): void {
		this.#declined.add(hash32(id));
	}

	#mustReopen(id: string): boolean {
		const {size} = this.#declined;
		return size >= maxDeclined || (size > 0 && this.#declined.has(hash32(id)));
	}
}
