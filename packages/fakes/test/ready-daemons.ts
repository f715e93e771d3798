/** A small stand-in for the platform's balancer: polls the readiness of every daemon and hands out the ready ones in turn. */
import {request} from 'undici';
import {type RunningDaemon} from '../src/index.js';
import {pause} from './requests-fixture.js';

const pollMs = 100;
const askMs = 500;

export class ReadyDaemons {
	#ready: readonly string[] = [];
	#nextIndex = 0;
	#stopped = false;
	readonly #loop: Promise<void>;

	/** Calls `daemons` before each poll for the daemons to ask. */
	constructor(private readonly daemons: () => readonly RunningDaemon[]) {
		this.#loop = this.#poll();
	}

	/** The entry address of the next ready daemon; undefined while none is ready. */
	next(): string | undefined {
		return this.#ready[this.#nextIndex++ % this.#ready.length];
	}

	/** Whether the daemon at this entry address was ready at the last poll. */
	has(entry: string): boolean {
		return this.#ready.includes(entry);
	}

	async stop(): Promise<void> {
		this.#stopped = true;
		await this.#loop;
	}

	async #poll(): Promise<void> {
		while (!this.#stopped) {
			const readyEntries = await Promise.all(
				this.daemons().map(async (daemon) =>
					(await isReady(daemon)) ? [daemon.entry] : [],
				),
			);
			this.#ready = readyEntries.flat();
			await pause(pollMs);
		}
	}
}

async function isReady({operator}: RunningDaemon): Promise<boolean> {
	try {
		const res = await request(`http://${operator}/readyz`, {
			signal: AbortSignal.timeout(askMs),
			reset: true,
		});
		await res.body.dump();
		return res.statusCode === 200;
	} catch {
		return false;
	}
}
