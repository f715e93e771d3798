/** A loopback proxy whose open connections can go silent for good, without a reset, while new ones work. */
import {connect, createServer} from 'node:net';

export class Link {
	#pairs = new Set();
	#server;

	/** Listens on loopback for connections to `target` (host and port); resolves with its own host and port. */
	async start(target) {
		const [host, port] = target.split(':');
		this.#server = createServer((near) => {
			const far = connect(Number(port), host);
			const pair = {near, far, isSilent: false};
			this.#pairs.add(pair);
			this.#forward(pair, near, far);
			this.#forward(pair, far, near);
		});
		await new Promise((resolve) => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${this.#server.address().port}`;
	}

	/** Lets the connections that are open now carry nothing any more; returns how many these are. */
	silence() {
		let count = 0;
		for (const pair of this.#pairs) {
			count += pair.isSilent ? 0 : 1;
			pair.isSilent = true;
		}

		return count;
	}

	stop() {
		this.#server.close();
		for (const {near, far} of this.#pairs) {
			near.destroy();
			far.destroy();
		}
	}

	#forward(pair, from, to) {
		from.on('data', (bytes) => {
			if (!pair.isSilent) {
				to.write(bytes);
			}
		});
		from.once('end', () => {
			if (!pair.isSilent) {
				to.end();
			}
		});
		from.on('error', () => {
			from.destroy();
		});
		from.once('close', () => {
			if (!pair.isSilent) {
				to.destroy();
				this.#pairs.delete(pair);
			}
		});
	}
}
