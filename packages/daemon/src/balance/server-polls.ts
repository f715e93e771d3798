/** Reads of servers' health and load: in turn, spread by chance, and bounded in number. */
import {
	type BackendServer,
	type Cancel,
	type Clock,
	type Millis,
	type Random,
	type Reading,
} from '@kingcuproute/core';
import {boundedAgent} from '@kingcuproute/platform';
import {z} from 'zod';

const timeoutMs: Millis = 1000;
/** For a whole answer, its connection included. */
const totalTimeoutMs: Millis = 3000;
/** Health and load are a few words each. */
const maxAnswerLen = 16_384;

const healthSchema = z.object({
	state: z.string().optional(),
	incarnation: z.string().optional(),
});
const loadSchema = z.object({inFlight: z.number().min(0).optional()});

/** Hears what a server said. */
export type OnReport = (server: BackendServer, report: Reading) => void;

export type PollOptions = {
	/** Between two reads of one server. */
	readonly pollMs: Millis;
	/** Reads in flight at once. */
	readonly maxPolls: number;
};

export class ServerPolls {
	readonly #agent = boundedAgent(maxAnswerLen, {
		headersTimeout: timeoutMs,
		bodyTimeout: timeoutMs,
		connect: {timeout: timeoutMs},
		connections: 1,
	});

	#servers: readonly BackendServer[] = [];
	#next = 0;
	#inFlight = 0;
	#cancel: Cancel | undefined;

	constructor(
		private readonly options: PollOptions,
		private readonly clock: Clock,
		private readonly random: Random,
	) {}

	/** The servers to read from now on. */
	follow(servers: readonly BackendServer[]): void {
		this.#servers = servers;
	}

	start(hear: OnReport): void {
		const turn = () => {
			this.#cancel = this.clock.after(this.#pauseMs(), turn);
			void this.#pollNext(hear);
		};

		turn();
	}

	stop(): void {
		this.#cancel?.();
		void this.#agent.destroy();
	}

	#pauseMs(): Millis {
		const count = Math.max(1, this.#servers.length);
		return this.random.jitter(this.options.pollMs / count);
	}

	async #pollNext(hear: OnReport): Promise<void> {
		const server = this.#servers[this.#next++ % this.#servers.length];
		if (!server || this.#inFlight >= this.options.maxPolls) {
			return;
		}

		this.#inFlight++;
		const origin = `http://${server.address}`;
		const [health, load] = await Promise.all([
			this.#read(origin, '/health', healthSchema),
			this.#read(origin, '/load', loadSchema),
		]);
		this.#inFlight--;
		hear(server, {
			cold: health ? health.state === 'cold' : undefined,
			draining: health ? health.state === 'draining' : undefined,
			incarnation: health?.incarnation,
			inFlight: load?.inFlight,
		});
	}

	/** What the server said, or undefined if it said nothing that can be read. */
	async #read<T>(
		origin: string,
		path: string,
		schema: z.ZodType<T>,
	): Promise<T | undefined> {
		const abort = new AbortController();
		const cancel = this.clock.after(totalTimeoutMs, () => {
			abort.abort();
		});
		try {
			const {signal} = abort;
			const call = {origin, path, method: 'GET', signal} as const;
			const {body} = await this.#agent.request(call);
			return schema.safeParse(await body.json()).data;
		} catch {
			return undefined;
		} finally {
			cancel();
		}
	}
}
