/** A reference model of the ledger, which computes every answer from all accounts. The sums that `Ledger` keeps must agree with it. */
import {
	waterFill,
	type LoanAnswer,
	type LoanAsk,
	type Millis,
	type LoanTerms,
} from '../src/index.js';
import {demandOf, gradeOf} from '../src/limits/demands.js';
import {
	largestPart,
	unexpired,
	withPart,
	type TimedParts,
} from '../src/limits/parts.js';

type Account = {
	/** A later ask may lend less, but the earlier promises remain valid. */
	readonly promises: TimedParts;
	readonly demand: number;
	readonly room: number;
	readonly grants: TimedParts;
};

/** An immutable ledger; `ask` returns the next one. */
export class PlainLedger {
	static readonly empty = new PlainLedger(new Map());

	private constructor(
		private readonly accounts: ReadonlyMap<string, Account>,
	) {}

	/** Records an ask and answers it. */
	ask(
		ask: LoanAsk,
		now: Millis,
		terms: LoanTerms,
	): {readonly ledger: PlainLedger; readonly answer: LoanAnswer} {
		const accounts = new Map(this.#unexpired(now));
		const {promises = [], grants = []} = accounts.get(ask.vm) ?? {};
		const until = ask.echo === undefined ? now : promiseEnd(ask.echo, terms);
		const asked: Account = {
			promises: withPart(promises, {part: ask.lent, until}),
			demand: demandOf(gradeOf(ask.demand)),
			room: ask.room,
			grants,
		};
		accounts.set(ask.vm, asked);
		const granted = grantFor(ask.vm, accounts, now, terms);
		const grant = {part: granted, until: now + terms.grantMs};
		accounts.set(ask.vm, {...asked, grants: withPart(grants, grant)});
		const room = sum([...accounts.values()].map((account) => account.room));
		const answer = {reading: now, granted, roomy: room >= 0};
		return {ledger: new PlainLedger(accounts), answer};
	}

	/** The sum of all grants that may still be in use. */
	outstanding(now: Millis): number {
		return sum(
			[...this.accounts.values()].map(({grants}) => largestPart(grants, now)),
		);
	}

	#unexpired(now: Millis): ReadonlyArray<[string, Account]> {
		return [...this.accounts]
			.map(([vm, account]): [string, Account] => {
				const grants = unexpired(account.grants, now);
				const promises = unexpired(account.promises, now);
				return [vm, {...account, promises, grants}];
			})
			.filter(
				([, {grants, promises}]) => grants.length > 0 || promises.length > 0,
			);
	}
}

function grantFor(
	vm: string,
	accounts: ReadonlyMap<string, Account>,
	now: Millis,
	terms: LoanTerms,
): number {
	const grantEnd = now + terms.grantMs;
	const lenders = [...accounts].filter(
		([, {promises}]) => unexpired(promises, grantEnd).length > 0,
	);
	const pool = sum(
		lenders.map(([, {promises}]) => largestPart(promises, grantEnd)),
	);
	const index = lenders.findIndex(([name]) => name === vm);
	if (index === -1) {
		return 0;
	}

	const metDemands = waterFill(
		pool,
		lenders.map(([, {demand}]) => demand),
	);
	const target = metDemands[index] + (pool - sum(metDemands)) / lenders.length;
	const others = [...accounts]
		.filter(([name]) => name !== vm)
		.map(([, {grants}]) => largestPart(grants, now));
	return Math.max(0, Math.min(target, pool - sum(others)));
}

/** Until when the home can rely on a promise counted from `echo`, after allowing for clock drift. */
function promiseEnd(echo: Millis, {promiseMs, maxDrift}: LoanTerms): Millis {
	return echo + promiseMs * (1 - maxDrift);
}

function sum(parts: readonly number[]): number {
	let total = 0;
	for (const part of parts) {
		total += part;
	}

	return total;
}
