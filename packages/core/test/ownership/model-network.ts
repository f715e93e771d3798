/** The simulated network: messages are late, lost or duplicated at random, or cut in one direction. */
import {type SeededRandom} from '../../src/index.js';
import {type Conditions} from './model-conditions.js';
import {type ModelDaemon} from './model-daemon.js';

export class ModelNetwork {
	at = 0;
	#queue: Array<{readonly at: number; readonly callback: () => void}> = [];
	readonly #cuts = new Map<string, number>();

	constructor(
		private conditions: Conditions,
		private readonly random: SeededRandom,
	) {}

	/** Loses all messages from one end to the other for `ms`. */
	cut(from: string, to: string, ms: number): void {
		this.#cuts.set(`${from}>${to}`, this.at + ms);
	}

	/** From now on messages arrive quickly, and exactly once. */
	heal(): void {
		this.conditions = {...this.conditions, delayMs: 10, lost: 0, doubled: 0};
		this.#cuts.clear();
	}

	/** Runs `callback` after `ms`. */
	after(ms: number, callback: () => void): void {
		this.#queue.push({at: this.at + ms, callback});
	}

	send(from: string, to: string, callback: () => void): void {
		const {delayMs, lost, doubled, late = 5} = this.conditions;
		if ((this.#cuts.get(`${from}>${to}`) ?? -1) > this.at) {
			return;
		}

		const copies =
			this.random.below(100) < lost
				? 0
				: this.random.below(100) < doubled
					? 2
					: 1;
		for (let copy = 0; copy < copies; copy++) {
			const factor = this.random.below(100) < late ? 20 : 1;
			this.after(this.random.below(delayMs * factor + 1), callback);
		}
	}

	/** Sends to a daemon; messages to a paused daemon wait until it resumes. */
	toDaemon(from: string, daemon: ModelDaemon, callback: () => void): void {
		const deliver = () => {
			if (daemon.pausedUntil > this.at) {
				if (daemon.pausedUntil < Infinity) {
					this.after(daemon.pausedUntil - this.at, deliver);
				}

				return;
			}

			callback();
		};

		this.send(from, daemon.id, deliver);
	}

	/** Advances the time, and runs the callbacks that are due. */
	advance(ms: number): void {
		this.at += ms;
		const due = this.#queue.filter(({at}) => at <= this.at);
		this.#queue = this.#queue.filter(({at}) => at > this.at);
		for (const {callback} of due) {
			callback();
		}
	}
}
