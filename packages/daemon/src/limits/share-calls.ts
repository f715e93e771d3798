/** The calls with which this daemon asks homes for shares of contract limits, and answers other daemons as a home. */
import {
	fold,
	type ReceivedAnswer,
	type Clock,
	type Homes,
	type Level,
	type LevelTerms,
	type Member,
	type Millis,
} from '@kingcuproute/core';
import {
	share,
	type Mesh,
	type ShareAnswer,
	type ShareAsk,
} from '@kingcuproute/mesh';
import {type Identity} from '../fleet/identity.js';
import {type Log} from '../log/log.js';
import {homeName} from './contract-limit.js';
import {LimitHomes, type CustomerAsk} from './limit-homes.js';
import {
	answerOf,
	askMessage,
	askOf,
	batchesOf,
	levelOf,
	levelNumber,
	type ShareBatch,
} from './share-messages.js';

export type ShareCallsOptions = {
	readonly self: Identity;
	readonly mesh: Mesh;
	readonly clock: Clock;
	readonly log: Log;
	readonly terms: LevelTerms;
	/** Whether this daemon may be a home yet. */
	readonly mayAnswer: () => boolean;
	/** Called with a home's answer to this daemon's own ask. */
	readonly onAnswer: (
		customer: string,
		received: ReceivedAnswer,
		level: Level,
	) => void;
};

export class ShareCalls {
	readonly #localHomes: LimitHomes;

	constructor(private readonly options: ShareCallsOptions) {
		const {self, mesh, terms, mayAnswer} = options;
		this.#localHomes = new LimitHomes(self.id, terms);
		mesh.serve(share, ({vm, home, asks, level: number}) => {
			const level = levelOf(number ?? 0);
			if (!vm || !level || home !== self.id) {
				throw new Error(
					`share request for home ${home} at level ${number} reached ${self.id}`,
				);
			}

			if (!mayAnswer()) {
				throw new Error('the common settings have not been compared yet');
			}

			return {answers: this.#answers(level, vm, asks ?? [])};
		});
	}

	/** Sends the daemon's own asks and those that it makes as a domain home: one call for each home and level. */
	askAll(own: readonly CustomerAsk[], homes: Homes<Member>, now: Millis): void {
		const asks = [...own, ...this.#localHomes.asks(homes, now)];
		for (const batch of batchesOf(asks)) {
			void this.#ask(batch, now);
		}
	}

	/** Drops the state of a contract that no longer exists. */
	forget(customer: string): void {
		this.#localHomes.forget(customer);
	}

	async #ask(batch: ShareBatch, askedAt: Millis): Promise<void> {
		const {self, mesh, log, terms} = this.options;
		const {home, level} = batch.seat;
		const vm = level === 'fleet' ? self.id : self.vm;
		const asks = batch.asks.map((each) => askMessage(each));
		if (home.id === self.id) {
			this.#receive(batch, this.#answers(level, vm, asks), askedAt);
			return;
		}

		const answer = await mesh.call(
			home.address,
			share,
			{vm, home: home.id, asks, level: levelNumber(level)},
			terms.single.grantMs,
		);
		fold(
			answer,
			({message}) => {
				log.debug('share-ask-failed', {home: home.id, error: message});
			},
			({answers}) => {
				this.#receive(batch, answers ?? [], askedAt);
			},
		);
	}

	#receive(
		{seat}: ShareBatch,
		answers: readonly ShareAnswer[],
		askedAt: Millis,
	): void {
		const now = this.options.clock.now();
		const home = homeName(seat);
		for (const message of answers) {
			const received = {home, answer: answerOf(message), askedAt, now};
			const customer = message.customer ?? '';
			if (seat.level === 'fleet') {
				this.#localHomes.receive(customer, received);
			} else {
				this.options.onAnswer(customer, received, seat.level);
			}
		}
	}

	#answers(level: Level, vm: string, asks: readonly ShareAsk[]): ShareAnswer[] {
		const now = this.options.clock.now();
		return asks.map((message) => {
			const customer = message.customer ?? '';
			const ask = askOf(vm, message);
			const answer = this.#localHomes.answer(level, customer, ask, now);
			return {customer, ...answer};
		});
	}
}
