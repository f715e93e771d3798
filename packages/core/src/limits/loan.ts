/**
 * One daemon's state for one contract's limit: what it may use, what it has lent,
 * and what to ask of the contract's home. Shares are fractions of the limit.
 *
 * A daemon's own share is one over the number of listed VMs. Without a home it
 * uses only that. With a home it keeps what it uses itself, and keeps most of its
 * share while no daemon is short, so that it still has that much when it stalls
 * until its grant has expired. It lends the rest.
 *
 * What it keeps grows in small steps, because nobody can use a part taken back
 * between the end of the grants that it backs and the end of the lender's promise.
 * A daemon lends to one home at a time: after a change of home it waits until its
 * promises to the previous home have expired.
 */
import {type Millis} from '../time/clock.js';
import {type LoanAnswer, type LoanAsk} from './loan-ask.js';
import {
	capped,
	largestPart,
	unexpired,
	withPart,
	type TimedParts,
} from './parts.js';
import {type LoanTerms} from './terms.js';

export type Loan = {
	/** The name of the home that this daemon lends to; empty while it lends to none. */
	readonly home: string;
	/** The latest reading of the home's clock; absent before the home's first answer. */
	readonly echo?: Millis;
	/** When that reading arrived, on this daemon's clock. */
	readonly echoReceivedAt: Millis;
	/** Since when another home has been preferred; absent while the current one is. */
	readonly switchWantedSince?: Millis;
	/** Whether no daemon is short, by the home's last answer. */
	readonly roomy: boolean;
	/** The fraction lent by the last ask. */
	readonly lent: number;
	/** The parts of its own share that this daemon has promised not to use, and until when on its own clock. */
	readonly promises: TimedParts;
	/** What the home has granted. The home counts the largest unexpired grant, so this daemon uses that one. */
	readonly grants: TimedParts;
};

const wholeLimit = 1;

/**
 * The state of a daemon that has just started. The previous run on the same VM may
 * have lent the VM's share, so the daemon promises not to use it for `promiseMs`.
 */
export function initialLoan(startedAt: Millis, terms: LoanTerms): Loan {
	return {
		home: '',
		echoReceivedAt: startedAt,
		roomy: true,
		lent: 0,
		promises: [{part: wholeLimit, until: startedAt + terms.promiseMs}],
		grants: [],
	};
}

/** The fraction of the limit that this daemon may use at `now`; `own` is its own share. */
export function usableShare(
	loan: Loan,
	own: number,
	now: Millis,
	terms: LoanTerms,
): number {
	return largestPart(loan.grants, now) + ownUsable(loan, own, now, terms);
}

/** Promises the whole own share until `until`, because an earlier run on the VM may have lent it until then. */
export function withShareReserved(loan: Loan, until: Millis): Loan {
	const promises = withPart(loan.promises, {part: wholeLimit, until});
	return promises === loan.promises ? loan : {...loan, promises};
}

/** Switches to `home` once the promises to the current home have expired; until then notes since when a switch is wanted. */
export function withHome(loan: Loan, home: string, now: Millis): Loan {
	if (loan.home === home) {
		const {switchWantedSince, ...rest} = loan;
		return rest;
	}

	if (unexpired(loan.promises, now).length > 0) {
		return {...loan, switchWantedSince: loan.switchWantedSince ?? now};
	}

	const {grants} = loan;
	return {
		home,
		echoReceivedAt: now,
		roomy: true,
		lent: 0,
		promises: [],
		grants,
	};
}

/**
 * Whether to send asks to the current home. It is still asked for a while after
 * another home has become the preferred one, so that a home suspected for only a
 * moment is not abandoned.
 */
export function shouldAsk(
	{home, switchWantedSince}: Loan,
	now: Millis,
	terms: LoanTerms,
): boolean {
	const isWithinDelay =
		switchWantedSince === undefined ||
		now - switchWantedSince < terms.homeSwitchDelayMs;
	return home !== '' && isWithinDelay;
}

/** The daemon's own data for its next ask. */
export type Asker = {
	readonly vm: string;
	/** Its own share of the limit. */
	readonly own: number;
	/** The fraction of the limit that it could use now. */
	readonly demand: number;
	/** Whether it uses nothing. An idle daemon keeps little of its share and asks rarely. */
	readonly idle?: boolean;
	readonly now: Millis;
};

/** The next ask to the home, and the state after sending it. Nothing is lent before the home's first answer. */
export function nextAsk(
	loan: Loan,
	asker: Asker,
	terms: LoanTerms,
): {readonly loan: Loan; readonly ask: LoanAsk} {
	const {vm, own, demand, idle = false} = asker;
	const room = roomOf(own, demand, terms);
	if (loan.echo === undefined) {
		return {loan, ask: {vm, lent: 0, demand, room}};
	}

	const floorShare =
		loan.roomy && !idle ? terms.amplyKeptShare : terms.minKeptShare;
	const lent = nextLent(loan.lent, {own, demand, floorShare}, terms);
	const next = withPromise(loan, lent, asker, terms);
	const excessDemand = excess(demand, ownUsable(next, own, asker.now, terms));
	const result = withGrantsCapped(next, excessDemand, terms);
	const ask = {
		vm,
		lent,
		demand: excessDemand,
		room,
		echo: loan.echo,
		...result.ask,
	};
	return {loan: result.loan, ask: idle ? {...ask, idle} : ask};
}

/** The loan with its grants capped at `cap`, and the field of the ask that tells the home so; unchanged unless `returnsEarly` is set. */
export function withGrantsCapped(
	loan: Loan,
	cap: number,
	{returnsEarly}: LoanTerms,
): {readonly loan: Loan; readonly ask: Pick<LoanAsk, 'keeps'>} {
	if (!returnsEarly) {
		return {loan, ask: {}};
	}

	const grants = capped(loan.grants, cap, Number.POSITIVE_INFINITY);
	return {loan: {...loan, grants}, ask: {keeps: cap}};
}

/** The loan after lending `lent`, promised from the arrival of the home's last answer on. */
export function withPromise(
	loan: Loan,
	lent: number,
	{idle, now}: Pick<Asker, 'idle' | 'now'>,
	terms: LoanTerms,
): Loan {
	const durationMs = terms.promiseMs + (idle ? terms.idleMs : 0);
	const promise = {part: lent, until: loan.echoReceivedAt + durationMs};
	const promises = withPart(unexpired(loan.promises, now), promise);
	return {...loan, lent, promises};
}

/** An answer that has arrived at `now`, with the home that sent it and when this daemon sent the ask. */
export type ReceivedAnswer = {
	readonly home: string;
	readonly answer: LoanAnswer;
	readonly askedAt: Millis;
	readonly now: Millis;
};

/**
 * The loan after an answer. An answer from a home that is no longer lent to is
 * ignored. Where grants are returned early, so is an answer no newer than the last
 * one, because the grants may have been capped since.
 */
export function withAnswer(
	loan: Loan,
	received: ReceivedAnswer,
	terms: LoanTerms,
): Loan {
	const {home, answer, askedAt, now} = received;
	const isStale = loan.echo !== undefined && answer.reading <= loan.echo;
	if (home !== loan.home || (isStale && terms.returnsEarly)) {
		return loan;
	}

	const grant = {
		part: answer.granted,
		until: askedAt + terms.grantMs * (1 - terms.maxDrift),
	};
	return {
		...loan,
		echo: answer.reading,
		echoReceivedAt: now,
		roomy: answer.roomy,
		grants: withPart(unexpired(loan.grants, now), grant),
	};
}

/** What to lend next after `lent`: the kept part grows by at most `reclaimShare` of the own share. */
export function nextLent(
	lent: number,
	{
		own,
		demand,
		floorShare,
	}: {
		readonly own: number;
		readonly demand: number;
		readonly floorShare: number;
	},
	terms: LoanTerms,
): number {
	const maxLent = own * (1 - terms.minKeptShare);
	return Math.max(
		own - shareToKeep(own, demand, floorShare),
		Math.min(lent, maxLent) - own * terms.reclaimShare,
	);
}

/** What is left of a daemon's own share when it keeps as much as it does while no daemon is short; below 0 if it is short itself. */
function roomOf(own: number, demand: number, terms: LoanTerms): number {
	const amplyKept = shareToKeep(own, demand, terms.amplyKeptShare);
	return own * (1 - terms.minRoomShare) - amplyKept - excess(demand, own);
}

/** The fraction of the limit that a daemon may use from its own share. */
function ownUsable(
	loan: Loan,
	own: number,
	now: Millis,
	terms: LoanTerms,
): number {
	return Math.max(
		own * terms.minKeptShare,
		own - largestPart(loan.promises, now),
	);
}

/** What a daemon would keep of its own share: its demand, and at least the part `floorShare` of that share. */
function shareToKeep(own: number, demand: number, floorShare: number): number {
	return Math.max(own * floorShare, Math.min(own, demand));
}

function excess(demand: number, own: number): number {
	return Math.max(0, demand - own);
}
