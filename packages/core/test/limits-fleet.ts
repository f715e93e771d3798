/** Simulates daemons that each lend to a single home, step by step, over a mesh that may lose, delay and duplicate messages. */
import fc from 'fast-check';
import {
	withAnswer,
	nextAsk,
	initialLoan,
	shouldAsk,
	Ledger,
	defaultLoanTerms,
	withHome,
	usableShare,
	type ReceivedAnswer,
	type Loan,
	type LoanAsk,
} from '../src/index.js';

export const vms = ['vm-0', 'vm-1', 'vm-2', 'vm-3'];
/** The own share of each daemon. */
export const own = 1 / vms.length;
export const rounding = 1e-9;

/** The clock of a VM; each has its own origin. */
const clockAt = (vm: number, now: number) => now + vm * 7919;

type Daemon = {
	readonly run: number;
	readonly loan: Loan;
	readonly ledger: Ledger;
};

type Message =
	| {
			readonly kind: 'ask';
			readonly from: number;
			readonly fromRun: number;
			readonly to: number;
			readonly toRun: number;
			readonly ask: LoanAsk;
			readonly askedAt: number;
	  }
	| {
			readonly kind: 'answer';
			readonly to: number;
			readonly toRun: number;
			readonly received: Omit<ReceivedAnswer, 'now'>;
	  };

export type Step =
	| {readonly kind: 'pass'; readonly ms: number}
	| {
			/** An exchange is an ask whose two messages, the ask and the answer, arrive at once. */
			readonly kind: 'ask' | 'exchange';
			readonly from: number;
			readonly to: number;
			readonly demand: number;
	  }
	| {readonly kind: 'deliver' | 'repeat' | 'drop'; readonly at: number}
	| {readonly kind: 'restart'; readonly vm: number};

const vmIndex = fc.nat({max: vms.length - 1});
const step: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 3,
		arbitrary: fc.record({
			kind: fc.constant('pass' as const),
			ms: fc.oneof(
				{weight: 6, arbitrary: fc.nat({max: 60})},
				fc.nat({max: 900}),
			),
		}),
	},
	{
		weight: 12,
		arbitrary: fc.record({
			kind: fc.constantFrom('ask' as const, 'exchange' as const),
			from: vmIndex,
			to: fc.oneof({weight: 9, arbitrary: fc.constant(0)}, vmIndex),
			demand: fc.constantFrom(0, 0, 0.1, 0.5, 1),
		}),
	},
	{
		weight: 6,
		arbitrary: fc.record({
			kind: fc.constantFrom(
				'deliver' as const,
				'deliver' as const,
				'deliver' as const,
				'repeat' as const,
				'drop' as const,
			),
			at: fc.oneof({weight: 3, arbitrary: fc.constant(0)}, fc.nat()),
		}),
	},
	{
		weight: 1,
		arbitrary: fc.record({kind: fc.constant('restart' as const), vm: vmIndex}),
	},
);

export const fleetSteps = fc.array(step, {minLength: 100, maxLength: 400});

/** The value 1 is for daemons that take back all they have lent at once. */
export const reclaimShare = fc.constantFrom(defaultLoanTerms.reclaimShare, 1);

export class Fleet {
	now = 10_000;
	maxBorrowed = 0;
	#messages: readonly Message[] = [];
	#daemons: Daemon[];

	constructor(private readonly terms = defaultLoanTerms) {
		this.#daemons = vms.map((_, vm) => this.#started(vm, 0));
	}

	step(step: Step): void {
		switch (step.kind) {
			case 'pass': {
				this.now += step.ms;
				break;
			}

			case 'ask': {
				this.#ask(step.from, step.to, step.demand);
				break;
			}

			case 'exchange': {
				this.#ask(step.from, step.to, step.demand);
				this.#transmit({kind: 'deliver', at: this.#messages.length - 1});
				this.#transmit({kind: 'deliver', at: this.#messages.length - 1});
				break;
			}

			case 'restart': {
				const {run} = this.#daemons[step.vm];
				this.#daemons[step.vm] = this.#started(step.vm, run + 1);
				break;
			}

			case 'deliver':
			case 'repeat':
			case 'drop': {
				this.#transmit(step);
			}
		}
	}

	usableShare(vm: number): number {
		return usableShare(
			this.#daemons[vm].loan,
			own,
			clockAt(vm, this.now),
			this.terms,
		);
	}

	inUse(): number {
		let sum = 0;
		for (const [vm, {loan}] of this.#daemons.entries()) {
			const part = usableShare(loan, own, clockAt(vm, this.now), this.terms);
			this.maxBorrowed = Math.max(this.maxBorrowed, part);
			sum += part;
		}

		return sum;
	}

	#started(vm: number, run: number): Daemon {
		const loan = initialLoan(clockAt(vm, this.now), this.terms);
		return {run, loan, ledger: new Ledger(this.terms)};
	}

	#ask(from: number, to: number, demand: number): void {
		const daemon = this.#daemons[from];
		const askedAt = clockAt(from, this.now);
		const preferred = `${to}.${this.#daemons[to].run}`;
		const loanWithHome = withHome(daemon.loan, preferred, askedAt);
		this.#daemons[from] = {...daemon, loan: loanWithHome};
		if (!shouldAsk(loanWithHome, askedAt, this.terms)) {
			return;
		}

		const asker = {vm: vms[from], own, demand, now: askedAt};
		const {loan, ask} = nextAsk(loanWithHome, asker, this.terms);
		this.#daemons[from] = {...daemon, loan};
		const fromRun = daemon.run;
		const [home, toRun] = loanWithHome.home.split('.').map(Number);
		this.#messages = [
			...this.#messages,
			{kind: 'ask', from, fromRun, to: home, toRun, ask, askedAt},
		];
	}

	#transmit({kind, at}: {readonly kind: string; readonly at: number}): void {
		if (at < 0 || this.#messages.length === 0) {
			return;
		}

		const index = at % this.#messages.length;
		const message = this.#messages[index];
		if (kind !== 'repeat') {
			this.#messages = this.#messages.toSpliced(index, 1);
		}

		if (kind !== 'drop' && this.#daemons[message.to].run === message.toRun) {
			this.#deliver(message);
		}
	}

	#deliver(message: Message): void {
		const daemon = this.#daemons[message.to];
		const now = clockAt(message.to, this.now);
		if (message.kind === 'answer') {
			const loan = withAnswer(
				daemon.loan,
				{...message.received, now},
				this.terms,
			);
			this.#daemons[message.to] = {...daemon, loan};
			return;
		}

		const answer = daemon.ledger.ask(message.ask, now);
		const home = `${message.to}.${message.toRun}`;
		const received = {home, answer, askedAt: message.askedAt};
		this.#messages = [
			...this.#messages,
			{kind: 'answer', to: message.from, toRun: message.fromRun, received},
		];
	}
}

/** Runs `rounds` rounds, in each of which every daemon asks once and is answered at once. */
export function runRounds(
	fleet: Fleet,
	demands: readonly number[],
	rounds: number,
): void {
	for (let round = 0; round < rounds; round++) {
		for (const [from, demand] of demands.entries()) {
			fleet.step({kind: 'exchange', from, to: 0, demand});
		}

		fleet.step({kind: 'pass', ms: defaultLoanTerms.askMs});
	}
}
