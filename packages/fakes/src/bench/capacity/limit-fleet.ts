/**
 * A fleet's daemons and homes of one contract's limit, from the pure core and in
 * virtual time: every ask is answered at once. Counts what each home hears.
 */
import {
	withAnswer,
	askIntervalMs,
	nextAsk,
	DomainHome,
	initialLoan,
	Homes,
	Ledger,
	levelTermsOf,
	longestPromiseMs,
	defaultLoanTerms as single,
	withHome,
	usableShare,
	type Level,
	type Loan,
	type LoanAnswer,
	type LoanAsk,
	type Member,
	type Millis,
	type HomeAtLevel,
} from '@kingcuproute/core';
import {share} from '@kingcuproute/mesh';

/** What one home has received, and the time to process it. */
export type Heard = {asks: number; bytes: number; ms: number};

type Daemon = {
	readonly member: Member;
	loan: Loan;
	demand: number;
	askedAt: Millis;
};

type GroupHome = {readonly home: DomainHome; askedAt: Millis};

export const domainCount = 8;

const terms = levelTermsOf(single);
const customer = 'tiktak-haus-franchise-services';
const large = 4400;

export class LimitFleet {
	now = longestPromiseMs(terms.domain);
	readonly heard = new Map<string, Heard>();
	readonly daemons: readonly Daemon[];
	readonly #homes: Homes<Member>;
	readonly #ledgers = new Map<string, Ledger>();
	readonly #groups = new Map<string, GroupHome>();

	constructor(
		readonly size: number,
		readonly isTree: boolean,
	) {
		const members = Array.from({length: size}, (_, index) => ({
			id: `vm-${index}.3y9vll16f`,
			vm: `vm-${index}`,
			failureDomain: `fd-${index % domainCount}`,
			address: '10.0.0.1:7000',
		}));
		this.#homes = Homes.of<Member>(members, isTree ? large : 1);
		this.daemons = members.map((member) => ({
			member,
			loan: initialLoan(0, terms.single),
			demand: 0,
			askedAt: Number.NEGATIVE_INFINITY,
		}));
	}

	/** Lets `ms` pass, each daemon at its own place in every turn; stops early once `until` is true. */
	run(ms: Millis, until: () => boolean = () => false): void {
		const end = this.now + ms;
		const startsAt = this.now;
		for (let turn = 0; this.now < end && !until(); turn++) {
			for (const [index, daemon] of this.daemons.entries()) {
				this.now = startsAt + (turn + index / this.size) * single.askMs;
				this.#turn(daemon);
			}

			this.now = startsAt + (turn + 1) * single.askMs;
		}
	}

	/** The fraction of the limit that a daemon may use now. */
	usable({loan}: Daemon): number {
		return usableShare(loan, 1 / this.size, this.now, terms.single);
	}

	#turn(daemon: Daemon): void {
		const {member} = daemon;
		const homeAtLevel = this.#homes.homeOf(customer, member.id)!;
		daemon.loan = withHome(daemon.loan, nameOf(homeAtLevel), this.now);
		const isTurned = daemon.loan.home === nameOf(homeAtLevel);
		if (isTurned && this.#isDue(daemon, homeAtLevel.level)) {
			daemon.askedAt = this.now;
			this.#askAsDaemon(daemon, homeAtLevel);
		}

		const group = this.#groups.get(member.id);
		const intervalMs = askIntervalMs(this.#homes.groupCount, terms.fleet);
		if (group && this.now - group.askedAt >= intervalMs) {
			group.askedAt = this.now;
			this.#askAsHome(group.home);
		}
	}

	#isDue({demand, loan, member, askedAt}: Daemon, level: Level): boolean {
		const callers = this.#homes.groupSize(member.id);
		const isRare = demand === 0 && loan.lent > 0;
		const intervalMs = isRare
			? terms.domain.idleAskMs
			: askIntervalMs(callers, terms.domain);
		return level === 'single' || this.now - askedAt >= intervalMs;
	}

	#askAsDaemon(daemon: Daemon, homeAtLevel: HomeAtLevel<Member>): void {
		const {demand, member} = daemon;
		const {now} = this;
		const idle = homeAtLevel.level === 'domain' && demand === 0;
		const asker = {vm: member.vm, own: 1 / this.size, demand, idle, now};
		const next = nextAsk(daemon.loan, asker, terms[homeAtLevel.level]);
		const answer = this.#answer(homeAtLevel, next.ask);
		const received = {home: nameOf(homeAtLevel), answer, askedAt: now, now};
		daemon.loan = withAnswer(next.loan, received, terms[homeAtLevel.level]);
	}

	#askAsHome(home: DomainHome): void {
		const {now} = this;
		const homeAtLevel = this.#homes.fleetHome(customer)!;
		const next = home.nextAsk(nameOf(homeAtLevel), now);
		if (next) {
			const answer = this.#answer(homeAtLevel, next.ask);
			home.receive({home: nameOf(homeAtLevel), answer, askedAt: now, now});
		}
	}

	#answer({home, level}: HomeAtLevel<Member>, ask: LoanAsk): LoanAnswer {
		const key = `${home.id}/${level}`;
		const heard = this.heard.get(key) ?? {asks: 0, bytes: 0, ms: 0};
		const startedAt = performance.now();
		const answer =
			level === 'domain'
				? this.#group(home.id).home.ask(ask, this.now)
				: this.#ledger(home.id, level).ask(ask, this.now);
		heard.ms += performance.now() - startedAt;
		heard.asks++;
		heard.bytes += bytesOf(home.id, ask, answer);
		this.heard.set(key, heard);
		return answer;
	}

	#group(id: string): GroupHome {
		let group = this.#groups.get(id);
		if (!group) {
			const home = new DomainHome(id, terms, this.now);
			group = {home, askedAt: Number.NEGATIVE_INFINITY};
			this.#groups.set(id, group);
		}

		return group;
	}

	#ledger(id: string, level: 'single' | 'fleet'): Ledger {
		let ledger = this.#ledgers.get(id);
		if (!ledger) {
			ledger = new Ledger(terms[level]);
			this.#ledgers.set(id, ledger);
		}

		return ledger;
	}
}

function nameOf({home, level}: HomeAtLevel<Member>): string {
	return `${home.id}/${level}`;
}

/** Both messages of a call for one contract, without what the transport adds. */
function bytesOf(home: string, ask: LoanAsk, answer: LoanAnswer): number {
	const question = {vm: ask.vm, home, asks: [{customer, ...ask}]};
	const answers = {answers: [{customer, ...answer}]};
	return (
		share.question.encode(question).finish().length +
		share.answer.encode(answers).finish().length
	);
}
