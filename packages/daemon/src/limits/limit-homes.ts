/** The contracts' limits of which this daemon is the home, at each level, and what it asks as a domain's home of the fleet's. */
import {
	askIntervalMs,
	DomainHome,
	Ledger,
	type Arrival,
	type Homes,
	type Level,
	type LevelTerms,
	type LoanAnswer,
	type LoanAsk,
	type Member,
	type Millis,
	type Seat,
} from '@kingcuproute/core';
import {homeName, type HomeAsk} from './contract-limit.js';

/** An ask for a share of a customer's contract. */
export type CustomerAsk = HomeAsk & {readonly customer: string};

type DomainHomeState = {
	readonly home: DomainHome;
	/** The fleet's home that it last turned to. */
	readonly seat?: Seat<Member>;
	readonly askedAt: Millis;
};

export class LimitHomes {
	readonly #ledgers = new Map<string, Ledger>();
	readonly #groups = new Map<string, DomainHomeState>();

	/** `self` is the id of this run. */
	constructor(
		private readonly self: string,
		private readonly terms: LevelTerms,
	) {}

	/** Takes an ask in and answers it. */
	answer(
		level: Level,
		customer: string,
		ask: LoanAsk,
		now: Millis,
	): LoanAnswer {
		return level === 'domain'
			? this.#group(customer, now).home.ask(ask, now)
			: this.#ledger(level, customer).ask(ask, now);
	}

	/** What is due to be asked of the fleet's homes. */
	asks(homes: Homes<Member>, now: Millis): readonly CustomerAsk[] {
		const intervalMs = askIntervalMs(homes.groupCount, this.terms.fleet);
		const due: CustomerAsk[] = [];
		for (const [customer, group] of this.#groups) {
			if (group.home.isEmpty(now)) {
				this.#groups.delete(customer);
			} else if (now - group.askedAt >= intervalMs) {
				due.push(...this.#ask(customer, group, homes.top(customer), now));
			}
		}

		return due;
	}

	/** Takes an answer of a fleet's home in. */
	receive(customer: string, arrival: Arrival): void {
		this.#groups.get(customer)?.home.answered(arrival);
	}

	/** Drops a contract that is no more. */
	forget(customer: string): void {
		this.#groups.delete(customer);
		for (const level of ['single', 'fleet'] as const) {
			this.#ledgers.delete(keyOf(level, customer));
		}
	}

	/** Without a seat above, the fleet has a single level now, and nothing is asked. */
	#ask(
		customer: string,
		group: DomainHomeState,
		preferred: Seat<Member> | undefined,
		now: Millis,
	): readonly CustomerAsk[] {
		const upward = preferred && group.home.asking(homeName(preferred), now);
		if (!upward) {
			return [];
		}

		const seat = upward.home === homeName(preferred) ? preferred : group.seat!;
		this.#groups.set(customer, {...group, seat, askedAt: now});
		return [{customer, seat, ask: upward.ask}];
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

	#group(customer: string, now: Millis): DomainHomeState {
		let group = this.#groups.get(customer);
		if (!group) {
			const home = new DomainHome(this.self, this.terms, now);
			group = {home, askedAt: Number.NEGATIVE_INFINITY};
			this.#groups.set(customer, group);
		}

		return group;
	}
}

function keyOf(level: Level, customer: string): string {
	return `${level} ${customer}`;
}
