/**
 * Finds out whether a backend server crashed: it refuses connections, or reports
 * another incarnation than before.
 */
import {type Clock, type Millis} from '@kingcuproute/core';
import {boundedAgent} from '@kingcuproute/platform';
import {request} from 'undici';
import {z} from 'zod';

const tryMs: Millis = 100;
const tries = 8;
const timeoutMs: Millis = 300;
/** For the complete answer, as undici's own timers may be half a second late. */
const answerTimeoutMs: Millis = 1000;
/** Generous, as a health answer is short. */
const maxAnswerLen = 16_384;

const healthSchema = z.object({incarnation: z.string().optional()});

export class CrashEvidence {
	readonly #agent = boundedAgent(maxAnswerLen, {});
	/** The incarnation that each address reported last. */
	readonly #incarnations = new Map<string, string>();

	constructor(private readonly clock: Clock) {}

	/**
	 * Probes the server on new connections until it answers or refuses, at most `tries`
	 * times; true only if it is proved to have crashed.
	 */
	async hasCrashed(address: string): Promise<boolean> {
		for (let count = 0; count < tries; count++) {
			const crashed = await this.#probe(address);
			if (crashed !== undefined) {
				return crashed;
			}

			await this.clock.sleep(tryMs);
		}

		return false;
	}

	async #probe(address: string): Promise<boolean | undefined> {
		const abort = new AbortController();
		const cancel = this.clock.after(answerTimeoutMs, () => {
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
			const previous = this.#incarnations.get(address);
			if (incarnation) {
				this.#incarnations.set(address, incarnation);
			}

			return previous !== undefined && previous !== incarnation;
		} catch (error) {
			const {code} = error as NodeJS.ErrnoException;
			return code === 'ECONNREFUSED' ? true : undefined;
		} finally {
			cancel();
		}
	}
}
