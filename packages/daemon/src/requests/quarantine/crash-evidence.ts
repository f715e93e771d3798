/** Whether a backend server crashed: it refuses connections, or runs anew. */
import {type Clock, type Millis} from '@kingcuproute/core';
import {boundedAgent} from '@kingcuproute/platform';
import {request} from 'undici';
import {z} from 'zod';

const tryMs: Millis = 100;
const tries = 8;
const timeoutMs: Millis = 300;
/** For a whole answer; undici's own timers may be half a second late. */
const wholeMs: Millis = 1000;
/** Health is a few words. */
const maxAnswerLen = 16_384;

const healthSchema = z.object({incarnation: z.string().optional()});

export class CrashEvidence {
	readonly #agent = boundedAgent(maxAnswerLen, {});
	/** Incarnations seen last, by address. */
	readonly #incarnations = new Map<string, string>();

	constructor(private readonly clock: Clock) {}

	/** Asks the server on fresh connections for a short while; true once it is proved to have crashed. */
	async crashed(address: string): Promise<boolean> {
		for (let count = 0; count < tries; count++) {
			const found = await this.#look(address);
			if (found !== undefined) {
				return found;
			}

			await this.clock.sleep(tryMs);
		}

		return false;
	}

	async #look(address: string): Promise<boolean | undefined> {
		const abort = new AbortController();
		const cancel = this.clock.after(wholeMs, () => {
			abort.abort();
		});
		try {
			const res = await request(`http://${address}/health`, {
				reset: true,
				headersTimeout: timeoutMs,
				bodyTimeout: timeoutMs,
				signal: abort.signal,
				dispatcher: this.#agent,
			});
			const {incarnation} = healthSchema.parse(await res.body.json());
			const before = this.#incarnations.get(address);
			if (incarnation) {
				this.#incarnations.set(address, incarnation);
			}

			return before !== undefined && before !== incarnation;
		} catch (error) {
			const {code} = error as NodeJS.ErrnoException;
			return code === 'ECONNREFUSED' ? true : undefined;
		} finally {
			cancel();
		}
	}
}
