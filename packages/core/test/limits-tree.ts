/**
 * Simulates daemons that lend to homes at any level, step by step, over a mesh that
 * may lose, delay and duplicate messages. Each step names the home and the level that
 * a daemon asks. So daemons may disagree on the members and on the fleet's levels.
 */
import {
	initialDaemonCount,
	withAnswer,
	nextAsk,
	shouldAsk,
	ownShare,
	withDaemonCount,
	withHome,
	usableShare,
	type DaemonCount,
	type Level,
	type LevelTerms,
	type LoanAsk,
} from '../src/index.js';
import {
	clockAt,
	groupSize,
	homeOfGroup,
	levelOf,
	levelTerms,
	startedDaemon,
	treeShare,
	treeSize,
	type Daemon,
} from './limits-tree-daemon.js';
import {type Lender, type Message} from './limits-tree-mail.js';
import {type TreeStep} from './limits-tree-steps.js';

/** The daemon that is the fleet's home in `rounds`. */
const fleetHome = 1;

export class Tree {
	now = 10_000;
	/** The largest sum of shares in use at any time checked. */
	maxInUse = 0;
	/** The most that a group could use beyond its daemons' own shares. */
	maxBorrowed = 0;
	#messages: readonly Message[] = [];
	#count: DaemonCount = {...initialDaemonCount, known: treeSize};
	readonly #daemons: Daemon[];

	constructor(private readonly terms: LevelTerms = levelTerms) {
		this.#daemons = Array.from({length: treeSize}, (_, vm) =>
			startedDaemon(vm, 0, this.now, this.terms),
		);
	}

	step(step: TreeStep): void {
		switch (step.kind) {
			case 'pass': {
				this.#pass(step.ms);
				break;
			}

			case 'ask': {
				this.#askAsDaemon(step.from, step.to, step.level, step.demand);
				this.#deliverBoth(step.atOnce);
				break;
			}

			case 'ask-above': {
				this.#askAsHome(step.from, step.to);
				this.#deliverBoth(step.atOnce);
				break;
			}

			case 'rounds': {
				this.rounds(step.demands, step.count);
				break;
			}

			case 'restart': {
				const {run} = this.#daemons[step.vm];
				const {now, terms} = this;
				this.#daemons[step.vm] = startedDaemon(step.vm, run + 1, now, terms);
				this.#recount();
				break;
			}

			case 'leave': {
				const daemon = this.#daemons[step.vm];
				this.#daemons[step.vm] = {...daemon, gone: true};
				this.#recount();
				break;
			}

			case 'deliver':
			case 'repeat':
			case 'drop': {
				this.#transmit(step.kind, step.at);
			}
		}
	}

	/** Runs rounds in which every daemon asks its group's home, each of these asks the fleet's home, and all messages arrive at once. */
	rounds(demands: ReadonlyArray<number | undefined>, count: number): void {
		for (let round = 0; round < count; round++) {
			for (const [from, demand] of demands.entries()) {
				this.#askOfGroup(from, demand);
				this.#pass(this.terms.domain.askMs / (treeSize + 2));
			}

			for (const from of [0, groupSize]) {
				this.#askAsHome(from, fleetHome);
				this.#deliverBoth(true);
				this.#pass(this.terms.fleet.askMs / (treeSize + 2));
			}
		}
	}

	usableShare(vm: number): number {
		const {loan, gone} = this.#daemons[vm];
		const now = clockAt(vm, this.now);
		return gone ? 0 : usableShare(loan, this.#own(), now, this.terms.single);
	}

	/** Updates the maxima with what all daemons may use now. */
	updateMaxima(): void {
		const groups = [0, 0];
		for (let vm = 0; vm < treeSize; vm++) {
			groups[vm < groupSize ? 0 : 1] += this.usableShare(vm);
		}

		const borrowed = Math.max(...groups) - treeShare * groupSize;
		this.maxBorrowed = Math.max(this.maxBorrowed, borrowed);
		this.maxInUse = Math.max(this.maxInUse, groups[0] + groups[1]);
	}

	#askOfGroup(from: number, demand: number | undefined): void {
		if (demand !== undefined) {
			this.#askAsDaemon(from, homeOfGroup(from), 'domain', demand);
			this.#deliverBoth(true);
		}
	}

	#pass(ms: number): void {
		this.updateMaxima();
		this.now += ms;
		this.updateMaxima();
	}

	#own(): number {
		return ownShare(this.#count, this.now);
	}

	/** All daemons learn the new count at once, and apply the longer terms of a large fleet. */
	#recount(): void {
		const known = this.#daemons.filter(({gone}) => !gone).length;
		const terms = {...this.terms, single: this.terms.domain};
		this.#count = withDaemonCount(
			this.#count,
			Math.max(1, known),
			this.now,
			terms,
		);
	}

	#askAsDaemon(from: number, to: number, level: Level, demand: number): void {
		const daemon = this.#daemons[from];
		if (daemon.gone) {
			return;
		}

		const now = clockAt(from, this.now);
		const loan = withHome(daemon.loan, this.#nameOf(to, level), now);
		this.#daemons[from] = {...daemon, loan};
		const terms = this.terms[levelOf(loan.home)];
		if (shouldAsk(loan, now, terms)) {
			const idle = demand === 0 && levelOf(loan.home) === 'domain';
			const asker = {vm: `vm-${from}`, own: this.#own(), demand, idle, now};
			const next = nextAsk(loan, asker, terms);
			this.#daemons[from] = {...daemon, loan: next.loan};
			this.#send('daemon', from, loan.home, next.ask);
		}
	}

	#askAsHome(from: number, to: number): void {
		const now = clockAt(from, this.now);
		const {domain, gone} = this.#daemons[from];
		const next = gone
			? undefined
			: domain.nextAsk(this.#nameOf(to, 'fleet'), now);
		if (next) {
			this.#send('home', from, next.home, next.ask);
		}
	}

	#nameOf(vm: number, level: Level): string {
		return `${vm}.${this.#daemons[vm].run}/${level}`;
	}

	#send(lender: Lender, from: number, home: string, ask: LoanAsk): void {
		const fromRun = this.#daemons[from].run;
		const askedAt = clockAt(from, this.now);
		const message = {lender, from, fromRun, home, askedAt, ask};
		this.#messages = [...this.#messages, {kind: 'ask', ...message}];
	}

	#deliverBoth(atOnce: boolean): void {
		if (atOnce) {
			this.#transmit('deliver', this.#messages.length - 1);
			this.#transmit('deliver', this.#messages.length - 1);
		}
	}

	#transmit(kind: 'deliver' | 'repeat' | 'drop', at: number): void {
		if (at < 0 || this.#messages.length === 0) {
			return;
		}

		const index = at % this.#messages.length;
		const message = this.#messages[index];
		if (kind !== 'repeat') {
			this.#messages = this.#messages.toSpliced(index, 1);
		}

		if (kind !== 'drop') {
			this.#deliver(message);
		}
	}

	#deliver(message: Message): void {
		if (message.kind === 'answer') {
			this.#receiveAnswer(message);
			return;
		}

		const [id, level] = message.home.split('/');
		const [vm, run] = id.split('.').map(Number);
		const daemon = this.#daemons[vm];
		if (daemon.run === run && !daemon.gone) {
			const home = daemon[level as Level];
			const answer = home.ask(message.ask, clockAt(vm, this.now));
			const {ask, ...envelope} = message;
			this.#messages = [
				...this.#messages,
				{...envelope, kind: 'answer', answer},
			];
		}
	}

	#receiveAnswer({
		lender,
		from,
		fromRun,
		home,
		askedAt,
		answer,
	}: Extract<Message, {kind: 'answer'}>): void {
		const daemon = this.#daemons[from];
		if (daemon.run !== fromRun || daemon.gone) {
			return;
		}

		const received = {home, answer, askedAt, now: clockAt(from, this.now)};
		if (lender === 'home') {
			daemon.domain.receive(received);
			return;
		}

		const terms = this.terms[levelOf(home)];
		const loan = withAnswer(daemon.loan, received, terms);
		this.#daemons[from] = {...daemon, loan};
	}
}
