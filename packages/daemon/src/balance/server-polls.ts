/** Polls servers' health and load: one after another, at jittered intervals, with a bounded number of polls in flight. */
import {
	type BackendServer,
	type Cancel,
	type Clock,
	type Millis,
	type Random,
	type ServerReport,
} from '@kingcuproute/core';
import {boundedAgent} from '@kingcuproute/platform';
import {z} from 'zod';

const timeoutMs: Millis = 1000;
/** For a whole answer, including the time to connect. */
const totalTimeoutMs: Millis = 3000;
/** Health and load answers are a few words each. */
const maxAnswerLen = 16_384;

const healthSchema = z.object({
	state: z.string().optional(),
	incarnation: z.string().optional(),
});
const loadSchema = z.object({inFlight: z.number().min(0).optional()});

/** Called with what a server reported. */
export type OnReport = (server: BackendServer, report: ServerReport) => void;

export type PollOptions = {
	/** Time between two polls of one server. */
	readonly pollMs: Millis;
	/** The most polls in flight at once. */
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

	/** Replaces the servers to poll. */
	setServers(servers: readonly BackendServer[]): void {
		this.#servers = servers;
	}

	start(onReport: OnReport): void {
		const poll = () => {
			this.#cancel = this.clock.after(this.#pauseMs(), poll);
			void this.#pollNext(onReport);
		};

		poll();
	}

	stop(): void {
		this.#cancel?.();
		void this.#agent.destroy();
	}

	#pauseMs(): Millis {
		const count = Math.max(1, this.#servers.length);
		return this.random.jitter(this.options.pollMs / count);
	}

	async #pollNext(onReport: OnReport): Promise<void> {
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
		onReport(server, {
			cold: health ? health.state === 'cold' : undefined,
			draining: health ? health.state === 'draining' : undefined,
			incarnation: health?.incarnation,
			inFlight: load?.inFlight,
		});
	}

	/** The parsed answer, or undefined if there was none that could be read. */
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
