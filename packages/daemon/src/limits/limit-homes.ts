/** The limits of contracts for which this daemon is home, at each level, and the asks that it sends to fleet homes as a domain home. */
import {
	askIntervalMs,
	DomainHome,
	Ledger,
	type ReceivedAnswer,
	type Homes,
	type Level,
	type LevelTerms,
	type LoanAnswer,
	type LoanAsk,
	type Member,
	type Millis,
	type HomeAtLevel,
} from '@kingcuproute/core';
import {homeName, type HomeAsk} from './contract-limit.js';

/** An ask for a share of the limit of a customer's contract. */
export type CustomerAsk = HomeAsk & {readonly customer: string};

type DomainHomeState = {
	readonly home: DomainHome;
	/** The fleet home last asked. */
	readonly seat?: HomeAtLevel<Member>;
	readonly askedAt: Millis;
};

export class LimitHomes {
	readonly #ledgers = new Map<string, Ledger>();
	readonly #domainHomes = new Map<string, DomainHomeState>();

	/** `self` is the id of this run of the daemon. */
	constructor(
		private readonly self: string,
		private readonly terms: LevelTerms,
	) {}

	/** Processes an ask and answers it. */
	answer(
		level: Level,
		customer: string,
		ask: LoanAsk,
		now: Millis,
	): LoanAnswer {
		return level === 'domain'
			? this.#domainHome(customer, now).home.ask(ask, now)
			: this.#ledger(level, customer).ask(ask, now);
	}

	/** The asks to fleet homes that are due. */
	asks(homes: Homes<Member>, now: Millis): readonly CustomerAsk[] {
		const intervalMs = askIntervalMs(homes.groupCount, this.terms.fleet);
		const due: CustomerAsk[] = [];
		for (const [customer, state] of this.#domainHomes) {
			if (state.home.isEmpty(now)) {
				this.#domainHomes.delete(customer);
			} else if (now - state.askedAt >= intervalMs) {
				due.push(
					...this.#askFleet(customer, state, homes.fleetHome(customer), now),
				);
			}
		}

		return due;
	}

	/** Applies a fleet home's answer. */
	receive(customer: string, received: ReceivedAnswer): void {
		this.#domainHomes.get(customer)?.home.receive(received);
	}

	/** Drops the state of a contract that no longer exists. */
	forget(customer: string): void {
		this.#domainHomes.delete(customer);
		for (const level of ['single', 'fleet'] as const) {
			this.#ledgers.delete(keyOf(level, customer));
		}
	}

	/** Asks `preferred`, or the former fleet home while a promise to it holds. Nothing is asked if `preferred` is undefined: the fleet then has a single level. */
	#askFleet(
		customer: string,
		state: DomainHomeState,
		preferred: HomeAtLevel<Member> | undefined,
		now: Millis,
	): readonly CustomerAsk[] {
		const fleetAsk = preferred && state.home.nextAsk(homeName(preferred), now);
		if (!fleetAsk) {
			return [];
		}

		const seat =
			fleetAsk.home === homeName(preferred) ? preferred : state.seat!;
		this.#domainHomes.set(customer, {...state, seat, askedAt: now});
		return [{customer, seat, ask: fleetAsk.ask}];
	}

	#ledger(level: 'single' | 'fleet', customer: string): Ledger {
		const key = keyOf(level, customer);
		let ledger = this.#ledgers.get(key);
		if (!ledger) {
			ledger = new Ledger(this.terms[level]);
			this.#ledgers.set(key, ledger);
		}

		return ledger;
	}

	#domainHome(customer: string, now: Millis): DomainHomeState {
		let state = this.#domainHomes.get(customer);
		if (!state) {
			const home = new DomainHome(this.self, this.terms, now);
			state = {home, askedAt: Number.NEGATIVE_INFINITY};
			this.#domainHomes.set(customer, state);
		}

		return state;
	}
}

function keyOf(level: Level, customer: string): string {
	return `${level} ${customer}`;
}
