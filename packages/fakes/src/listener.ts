/** The HTTP listener of a stand-in, on loopback. Closing it closes all its connections. */
import {createServer, type RequestListener, type Server} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';

export class Listener {
	readonly #server: Server;

	/** `onConnection` is called for every new connection. */
	constructor(
		onRequest: RequestListener,
		onConnection?: (socket: Socket) => void,
	) {
		this.#server = createServer(onRequest);
		if (onConnection) {
			this.#server.on('connection', onConnection);
		}
	}

	/** Listens on `port`, or on any free one if it is 0; returns the port. */
	async listen(port: number): Promise<number> {
		await new Promise<void>((resolve) => {
			this.#server.listen(port, '127.0.0.1', resolve);
		});
		return (this.#server.address() as AddressInfo).port;
	}

	async close(): Promise<void> {
		this.#server.closeAllConnections();
		await new Promise((resolve) => {
			this.#server.close(resolve);
		});
	}
}
