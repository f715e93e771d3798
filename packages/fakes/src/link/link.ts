/**
 * A TCP relay with faults on demand: it drops, holds back or delays bytes in one
 * direction or both, for every connection or only for those from one origin.
 */
import {
	connect,
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';
import {z} from 'zod';
import {Passage, type DirectionFaults} from './passage.js';

export const linkFaultsSchema = z.strictObject({
	/** Drops bytes towards the target. */
	silentTo: z.boolean(),
	/** Drops bytes from the target. */
	silentFrom: z.boolean(),
	/** Holds bytes towards the target back until this is false again, as TCP does while the network is cut. */
	holdTo: z.boolean(),
	/** Holds bytes from the target back until this is false again. */
	holdFrom: z.boolean(),
	/** Delays bytes towards the target by this long, in ms. */
	delayToMs: z.number().min(0),
	/**
	 * Once a chunk of a connection's bytes towards the target contains this text, holds that
	 * chunk and all later ones back until this is empty again.
	 */
	holdAt: z.string(),
	/** Applies the faults only to connections from this origin; to all if empty. */
	only: z.string(),
});

/** The faults of a link that are in force. */
export type LinkFaults = Readonly<z.infer<typeof linkFaultsSchema>>;

const noFaults: LinkFaults = {
	silentTo: false,
	silentFrom: false,
	holdTo: false,
	holdFrom: false,
	delayToMs: 0,
	holdAt: '',
	only: '',
};

/** The name of a connection's origin. */
export type OriginOf = (near: Socket) => string;

export class Link {
	#target: string;
	#faults: readonly LinkFaults[] = [];
	readonly #sockets = new Set<Socket>();
	readonly #passages = new Set<Passage>();
	readonly #server: Server;

	/** A link to `target` (host:port); origins are remote addresses unless `originOf` is given. */
	constructor(
		target = '',
		private readonly originOf: OriginOf = (near) => near.remoteAddress ?? '',
	) {
		this.#target = target;
		this.#server = createServer((near) => {
			this.#accept(near);
		});
	}

	/** Listens on loopback; returns the address. */
	async listen(port = 0): Promise<string> {
		await new Promise<void>((resolve) => {
			this.#server.listen(port, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Connects new connections to this target from now on; closes them if it is empty. */
	setTarget(target: string): void {
		this.#target = target;
	}

	/** Replaces the faults in force, one set per origin; a fault that is not named ends. */
	setFaults(...faults: ReadonlyArray<Partial<LinkFaults>>): void {
		this.#faults = faults.map((each) => ({...noFaults, ...each}));
		for (const passage of this.#passages) {
			passage.release();
		}
	}

	/** The number of directions of connections whose bytes are held back. */
	get held(): number {
		return [...this.#passages].filter(({holds}) => holds).length;
	}

	/** Lets all current connections carry nothing any more, without a reset; new ones work. */
	silence(): void {
		for (const passage of this.#passages) {
			passage.silence();
		}
	}

	/** Closes all current connections; new ones are accepted. */
	cut(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	async close(): Promise<void> {
		this.cut();
		await new Promise((resolve) => {
			this.#server.close(resolve);
		});
	}

	#accept(near: Socket): void {
		if (this.#target === '') {
			near.destroy();
			return;
		}

		const [host, port] = this.#target.split(':') as [string, string];
		const far = connect(Number(port), host);
		const origin = this.originOf(near);
		this.#addPassage(near, far, () => faultsToTarget(this.#faultsFor(origin)));
		this.#addPassage(far, near, () =>
			faultsFromTarget(this.#faultsFor(origin)),
		);
	}

	#faultsFor(origin: string): LinkFaults {
		return (
			this.#faults.find(({only}) => only === '' || only === origin) ?? noFaults
		);
	}

	#addPassage(
		source: Socket,
		sink: Socket,
		faults: () => DirectionFaults,
	): void {
		const passage = new Passage(source, sink, faults);
		this.#sockets.add(source);
		this.#passages.add(passage);
		source.on('close', () => {
			this.#sockets.delete(source);
		});
		sink.on('close', () => {
			this.#passages.delete(passage);
		});
	}
}

function faultsToTarget(faults: LinkFaults): DirectionFaults {
	const {silentTo, holdTo, holdAt, delayToMs} = faults;
	return {silent: silentTo, held: holdTo, holdAt, delayMs: delayToMs};
}

function faultsFromTarget({silentFrom, holdFrom}: LinkFaults): DirectionFaults {
	return {silent: silentFrom, held: holdFrom, holdAt: '', delayMs: 0};
}
