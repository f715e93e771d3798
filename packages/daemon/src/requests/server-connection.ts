/**
 * A connection to a backend server, opened anew whenever it has ended. A faulty server
 * may write an earlier refusal once more, and the request that it answered may come
 * again: its id does not tell the two apart. So a connection on which a request was
 * declined is closed before a request with the same id would go over it.
 */
import {type Socket} from 'node:net';
import {hash32} from '@kingcuproute/core';
import {BoundedClient, type BoundedOptions} from '@kingcuproute/platform';
import {type buildConnector, type Dispatcher} from 'undici';

/** A connection that remembers more is replaced. */
const maxDeclined = 1000;

/** A request by the id that answers to it bear. */
export type IdentifiedRequest = Dispatcher.DispatchOptions & {
	readonly id: string;
	/** Called with the connection that takes the request up. */
	readonly takenBy: (connection: ServerConnection) => void;
};

type Current = {socket?: Socket};

export class ServerConnection extends BoundedClient {
	static to(origin: URL, options: BoundedOptions): ServerConnection {
		const current: Current = {};
		const connect: buildConnector.connector = (to, callback) => {
			options.connect(to, (...result) => {
				current.socket = result[1] ?? undefined;
				callback(...result);
			});
		};

		return new ServerConnection(origin, {...options, connect}, current);
	}

	/** Hashes of the ids of requests that were declined since it was opened. */
	readonly #declined = new Set<number>();

	private constructor(
		origin: URL,
		options: BoundedOptions,
		private readonly current: Current,
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
		if (this.#mustRenew(request.id)) {
			this.current.socket?.destroy();
		}

		request.takenBy(this);
		return super.dispatch(request, handler);
	}

	/** Notes that a request that it carried was declined. */
	declined(id: string): void {
		this.#declined.add(hash32(id));
	}

	#mustRenew(id: string): boolean {
		const {size} = this.#declined;
		return size >= maxDeclined || (size > 0 && this.#declined.has(hash32(id)));
	}
}
