import test from 'ava';
import {
	Homes,
	levelTermsOf,
	longestPromiseMs,
	defaultLoanTerms as single,
	type Contract,
	type Level,
	type LoanAnswer,
	type Member,
} from '@kingcuproute/core';
import {share} from '@kingcuproute/mesh';
import {ContractLimit, homeName} from '../src/limits/contract-limit.js';
import {LimitHomes} from '../src/limits/limit-homes.js';
import {
	answerOf,
	askMessage,
	askOf,
	batchesOf,
	levelOf,
	levelNumber,
	type ShareBatch,
} from '../src/limits/share-messages.js';

const terms = levelTermsOf(single);
const domains = 4;
const contract: Contract = {
	customer: 'tiktak-haus',
	services: ['kaha'],
	ratePerSecond: 1000,
	burst: 100,
	concurrency: 1000,
	weight: 1,
};
const {customer} = contract;

/** Daemons that exchange messages without delay, in virtual time. */
class Fleet {
	now = 0;
	asksToBusiest = 0;
	readonly levels = new Set<Level>();
	readonly limits = new Map<string, ContractLimit>();
	readonly #homesOf = new Map<string, LimitHomes>();
	readonly #homes: Homes<Member>;
	readonly #asks = new Map<string, number>();

	constructor(readonly members: readonly Member[]) {
		this.#homes = Homes.of(members, members.length);
		for (const {id} of members) {
			this.limits.set(id, new ContractLimit(0, terms));
			this.#homesOf.set(id, new LimitHomes(id, terms));
		}

		this.now = longestPromiseMs(terms.domain);
	}

	get own(): number {
		return 1 / this.members.length;
	}

	/** Runs one turn of every daemon; `busy` is offered `requests`. */
	turn(busy: string, requests: number): void {
		this.now += single.askMs;
		for (const member of this.members) {
			const limit = this.limits.get(member.id)!;
			for (let at = 0; at < (member.id === busy ? requests : 0); at++) {
				limit.offer(contract, this.own, this.now).ifRight(() => {
					limit.release();
				});
			}

			this.#askAll(member, limit);
		}
	}

	/** The most asks that one home received at one level since the last call. */
	takeMostAsks(): number {
		const most = Math.max(...this.#asks.values());
		this.#asks.clear();
		return most;
	}

	#askAll({id, vm}: Member, limit: ContractLimit): void {
		const seat = this.#homes.homeOf(customer, id)!;
		const callers = this.#homes.groupSize(id);
		const asker = {vm, own: this.own, callers};
		const asked = limit.ask(seat, contract, asker, this.now);
		const fleetAsks = this.#homesOf.get(id)!.asks(this.#homes, this.now);
		const asks = [...(asked ? [{customer, ...asked}] : []), ...fleetAsks];
		for (const batch of batchesOf(asks)) {
			this.#exchange(batch, batch.seat.level === 'fleet' ? id : vm, id);
		}
	}

	#exchange({seat, asks}: ShareBatch, vm: string, from: string): void {
		const {home, level} = seat;
		const name = homeName(seat);
		this.levels.add(level);
		this.#asks.set(name, (this.#asks.get(name) ?? 0) + asks.length);
		const request = share.question.decode(
			share.question
				.encode({
					vm,
					home: home.id,
					asks: asks.map((each) => askMessage(each)),
					level: levelNumber(level),
				})
				.finish(),
		);
		for (const message of request.asks ?? []) {
			const answer = this.#homesOf
				.get(home.id)!
				.answer(
					levelOf(request.level ?? 0)!,
					customer,
					askOf(vm, message),
					this.now,
				);
			this.#take(from, name, level, answer);
		}
	}

	#take(from: string, home: string, level: Level, answer: LoanAnswer): void {
		const {now} = this;
		const bytes = share.answer
			.encode({answers: [{customer, ...answer}]})
			.finish();
		const [message] = share.answer.decode(bytes).answers!;
		const received = {home, answer: answerOf(message), askedAt: now, now};
		if (level === 'fleet') {
			this.#homesOf.get(from)!.receive(customer, received);
		} else {
			this.limits.get(from)!.receive(received, level);
		}
	}
}

function fleetOf(size: number): Fleet {
	return new Fleet(
		Array.from({length: size}, (_, index) => ({
			id: `vm-${index}.1`,
			vm: `vm-${index}`,
			failureDomain: `fd-${index % domains}`,
			address: `10.0.0.1:${index}`,
		})),
	);
}

/** The requests of one turn at this share of the contract's rate. */
const requestsOf = (rateShare: number) =>
	(rateShare * contract.ratePerSecond * single.askMs) / 1000;

test('a large fleet lends shares at two levels, by messages, to the one daemon that is busy', (t) => {
	const fleet = fleetOf(80);
	for (let turn = 0; turn < 200; turn++) {
		fleet.turn('vm-5.1', requestsOf(0.5));
	}

	const usableShares = [...fleet.limits.values()].map((limit) =>
		limit.usableShare(fleet.own, fleet.now),
	);
	t.deepEqual([...fleet.levels].toSorted(), ['domain', 'fleet']);
	t.true(usableShares[5] > 0.5, `${usableShares[5]}`);
	t.true(usableShares.reduce((sum, each) => sum + each, 0) <= 1 + 1e-9);
});

test('daemons that use nothing ask a home of a large fleet rarely', (t) => {
	const fleet = fleetOf(80);
	const turnsOf10s = 10_000 / single.askMs;
	for (let turn = 0; turn < 3 * turnsOf10s; turn++) {
		fleet.turn('', 0);
	}

	fleet.takeMostAsks();
	for (let turn = 0; turn < turnsOf10s; turn++) {
		fleet.turn('', 0);
	}

	t.true(fleet.takeMostAsks() <= (20 * 10) / 5 + 20);
});

test('a small fleet asks its single home at every turn', (t) => {
	const fleet = fleetOf(11);
	for (let turn = 0; turn < 10; turn++) {
		fleet.turn('', 0);
	}

	t.deepEqual([...fleet.levels], ['single']);
	t.is(fleet.takeMostAsks(), 110);
});
