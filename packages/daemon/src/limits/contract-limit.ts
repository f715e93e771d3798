/** One contract's limit as this daemon holds it: what is lent and granted, and what is in flight. */
import {
	answered,
	askIntervalMs,
	asking,
	demandRead,
	firstLoan,
	fullMeter,
	isAsked,
	isUnused,
	offered,
	released,
	resting,
	turnedTo,
	usable,
	type Arrival,
	type Contract,
	type Level,
	type LevelTerms,
	type Loan,
	type LoanAsk,
	type Member,
	type Meter,
	type Millis,
	type Refusal,
	type Seat,
	type Terms,
} from '@kingcuproute/core';
import {type Either} from 'purify-ts';

/** An ask, and the home that it is for. */
export type HomeAsk = {readonly seat: Seat<Member>; readonly ask: LoanAsk};

/** What an ask says of the daemon. */
export type LimitAsker = {
	readonly vm: string;
	/** Its own share of the limit. */
	readonly own: number;
	/** How many daemons ask the same home, where the asks are spaced by that. */
	readonly callers: number;
};

/** How a loan names a home: one daemon may be a home at several levels. */
export function homeName({home, level}: Seat<Member>): string {
	return `${home.id}/${level}`;
}

export class ContractLimit {
	#seat: Seat<Member> | undefined;
	#loan: Loan;
	#meter: Meter;
	#askedAt = Number.NEGATIVE_INFINITY;

	/** `startedAt` is when this run of the daemon began. */
	constructor(
		startedAt: Millis,
		private readonly terms: LevelTerms,
	) {
		this.#loan = firstLoan(startedAt, terms.single);
		this.#meter = fullMeter(startedAt);
	}

	/** Counts a request in, or refuses it. */
	offer(contract: Contract, own: number, now: Millis): Either<Refusal, true> {
		const {meter, admitted} = offered(
			this.#meter,
			contract,
			this.usableShare(own, now),
			now,
		);
		this.#meter = meter;
		return admitted;
	}

	/** Counts an admitted request out. */
	release(): void {
		this.#meter = released(this.#meter);
	}

	/** Uses next to nothing of the own share until `until`. */
	reserveShareUntil(until: Millis): void {
		this.#loan = resting(this.#loan, until);
	}

	/** The fraction of the limit that may be used here. */
	usableShare(own: number, now: Millis): number {
		return usable(this.#loan, own, now, this.terms.single);
	}

	/** What to ask of which home, if `preferred` is the one to turn to; undefined while a promise to another home holds, and between two asks. */
	ask(
		preferred: Seat<Member>,
		contract: Contract,
		asker: LimitAsker,
		now: Millis,
	): HomeAsk | undefined {
		this.#loan = turnedTo(this.#loan, homeName(preferred), now);
		if (this.#loan.home === homeName(preferred)) {
			this.#seat = preferred;
		}

		this.#meter = demandRead(this.#meter, contract, now);
		const seat = this.#seat;
		if (!seat) {
			return undefined;
		}

		const terms = this.terms[seat.level];
		const {vm, own, callers} = asker;
		const idle =
			seat.level === 'domain' && isUnused(this.#meter, own * terms.keptShare);
		if (
			!isAsked(this.#loan, now, terms) ||
			!this.#isDue(seat, idle, callers, now)
		) {
			return undefined;
		}

		this.#askedAt = now;
		const {demand} = this.#meter;
		const next = asking(this.#loan, {vm, own, demand, idle, now}, terms);
		this.#loan = next.loan;
		return {seat, ask: next.ask};
	}

	/** Takes an answer in. */
	receive(arrival: Arrival, level: Level): void {
		this.#loan = answered(this.#loan, arrival, this.terms[level]);
	}

	/** A single level is asked at every turn. */
	#isDue(
		{level}: Seat<Member>,
		idle: boolean,
		callers: number,
		now: Millis,
	): boolean {
		if (level === 'single') {
			return true;
		}

		const terms: Terms = this.terms[level];
		const isLending = this.#loan.lent > 0;
		const intervalMs =
			idle && isLending ? terms.idleAskMs : askIntervalMs(callers, terms);
		return now - this.#askedAt >= intervalMs;
	}
}
