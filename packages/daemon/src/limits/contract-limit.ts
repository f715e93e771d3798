/** One contract's limit at this daemon: the shares it has lent and been granted, and the requests in flight. */
import {
	withAnswer,
	askIntervalMs,
	nextAsk,
	demandMeasured,
	initialLoan,
	fullMeter,
	shouldAsk,
	isUnused,
	offered,
	released,
	withShareReserved,
	withHome,
	usableShare,
	type ReceivedAnswer,
	type Contract,
	type Level,
	type LevelTerms,
	type Loan,
	type LoanAsk,
	type Member,
	type Meter,
	type Millis,
	type Refusal,
	type HomeAtLevel,
	type LoanTerms,
} from '@kingcuproute/core';
import {type Either} from 'purify-ts';

/** An ask for a share, and the home to send it to. */
export type HomeAsk = {
	readonly seat: HomeAtLevel<Member>;
	readonly ask: LoanAsk;
};

/** What an ask states about the daemon that sends it. */
export type LimitAsker = {
	readonly vm: string;
	/** Its own share of the limit. */
	readonly own: number;
	/** How many daemons ask the same home; in a large fleet this spaces out their asks. */
	readonly callers: number;
};

/** The name of a home in loans. It includes the level, as one daemon may be a home at several levels. */
export function homeName({home, level}: HomeAtLevel<Member>): string {
	return `${home.id}/${level}`;
}

export class ContractLimit {
	/** The home that the loan belongs to. */
	#seat: HomeAtLevel<Member> | undefined;
	#loan: Loan;
	#meter: Meter;
	#askedAt = Number.NEGATIVE_INFINITY;

	/** `startedAt` is when this run of the daemon started. */
	constructor(
		startedAt: Millis,
		private readonly terms: LevelTerms,
	) {
		this.#loan = initialLoan(startedAt, terms.single);
		this.#meter = fullMeter(startedAt);
	}

	/** Admits and counts a request, or refuses it. */
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

	/** Removes an admitted request from the count. */
	release(): void {
		this.#meter = released(this.#meter);
	}

	/** Leaves this daemon's own share almost unused until `until`, as if all of it were lent. */
	reserveShareUntil(until: Millis): void {
		this.#loan = withShareReserved(this.#loan, until);
	}

	/** The fraction of the limit that this daemon may use. */
	usableShare(own: number, now: Millis): number {
		return usableShare(this.#loan, own, now, this.terms.single);
	}

	/** The next ask, where `preferred` is the home chosen now. While a promise to the former home holds, the ask goes to that home, for a limited time; undefined after that time, and between two asks. */
	ask(
		preferred: HomeAtLevel<Member>,
		contract: Contract,
		asker: LimitAsker,
		now: Millis,
	): HomeAsk | undefined {
		this.#loan = withHome(this.#loan, homeName(preferred), now);
		if (this.#loan.home === homeName(preferred)) {
			this.#seat = preferred;
		}

		this.#meter = demandMeasured(this.#meter, contract, now);
		const seat = this.#seat;
		if (!seat) {
			return undefined;
		}

		const terms = this.terms[seat.level];
		const {vm, own, callers} = asker;
		const idle =
			seat.level === 'domain' &&
			isUnused(this.#meter, own * terms.minKeptShare);
		if (
			!shouldAsk(this.#loan, now, terms) ||
			!this.#isDue(seat, idle, callers, now)
		) {
			return undefined;
		}

		this.#askedAt = now;
		const {demand} = this.#meter;
		const next = nextAsk(this.#loan, {vm, own, demand, idle, now}, terms);
		this.#loan = next.loan;
		return {seat, ask: next.ask};
	}

	/** Applies a home's answer. */
	receive(received: ReceivedAnswer, level: Level): void {
		this.#loan = withAnswer(this.#loan, received, this.terms[level]);
	}

	/** Whether the interval since the last ask is over. A home of the single level is asked at every turn. */
	#isDue(
		{level}: HomeAtLevel<Member>,
		idle: boolean,
		callers: number,
		now: Millis,
	): boolean {
		if (level === 'single') {
			return true;
		}

		const terms: LoanTerms = this.terms[level];
		const isLending = this.#loan.lent > 0;
		const intervalMs =
			idle && isLending ? terms.idleAskMs : askIntervalMs(callers, terms);
		return now - this.#askedAt >= intervalMs;
	}
}
