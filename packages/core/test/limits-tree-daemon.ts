/** One daemon of the simulated fleet with two levels: its loan, and its state as a home at each level. */
import {
	DomainHome,
	initialLoan,
	Ledger,
	levelTermsOf,
	longestPromiseMs,
	withShareReserved,
	defaultLoanTerms,
	type Level,
	type LevelTerms,
	type Loan,
} from '../src/index.js';

export const treeSize = 6;
/** The own share of each daemon. */
export const treeShare = 1 / treeSize;
export const levelTerms = levelTermsOf(defaultLoanTerms);

export const groupSize = treeSize / 2;
const longestLoanMs = longestPromiseMs(levelTerms.domain);

/** The clock of a VM; each has its own origin and speed. */
export const clockAt = (vm: number, now: number) =>
	now * (1 + (vm - treeSize / 2) * 0.0003) + vm * 7919;

export const homeOfGroup = (vm: number) => vm - (vm % groupSize);

export type Daemon = {
	readonly run: number;
	/** Whether it has left for good, which all daemons learn at once. */
	readonly gone: boolean;
	readonly loan: Loan;
	readonly single: Ledger;
	readonly domain: DomainHome;
	readonly fleet: Ledger;
};

/** A run that has lent nothing yet itself, but an earlier run may have lent its VM's share. */
export function startedDaemon(
	vm: number,
	run: number,
	startedAt: number,
	terms: LevelTerms,
): Daemon {
	const now = clockAt(vm, startedAt);
	return {
		run,
		gone: false,
		loan: withShareReserved(
			initialLoan(now, terms.single),
			now + longestLoanMs,
		),
		single: new Ledger(terms.single),
		domain: new DomainHome(`${vm}.${run}`, terms, now),
		fleet: new Ledger(terms.fleet),
	};
}

/** The level in a home's name; `single` for an empty name. */
export function levelOf(name: string): Level {
	return (name.split('/').at(1) ?? 'single') as Level;
}
