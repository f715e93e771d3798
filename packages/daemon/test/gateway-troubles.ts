/**
 * Troubles of a fleet that keeps one service's keys. Each lasts for a while, and some
 * overlap; what it does to daemons, servers and the store ends with it.
 */
import fc from 'fast-check';
import {type Millis} from '@kingcuproute/core';
import {type fleet, type ServerRun} from './gateway-keepers.js';

type Fleet = ReturnType<typeof fleet>;

export const vms = ['x', 'y', 'z'] as const;
export const names = ['a', 'b', 'c', 'd'] as const;
/** A server that joins, beside those that are there at first. */
export const first = names.slice(0, 3);

const serverKinds = [
	'late',
	'unanswered',
	'silent',
	'refusing',
	'far',
	'slow-release',
	'leaving',
	'off-list',
	'crashed',
	// Another server is at its address for good, or for a while.
	'replaced',
	'usurped',
] as const;
const daemonKinds = [
	'cut',
	'unanswered-writes',
	'slow-answers',
	'late-writes',
	'frozen',
	'stood-still',
	'killed',
	'stopped',
] as const;

type Times = {
	/** When it begins, after the trouble before it. */
	readonly afterMs: Millis;
	readonly forMs: Millis;
	/** Of what is late or slow: how much. */
	readonly ms: Millis;
};

export type Trouble = Times &
	(
		| {
				readonly kind: (typeof serverKinds)[number];
				readonly name: (typeof names)[number];
		  }
		| {
				readonly kind: (typeof daemonKinds)[number];
				readonly vm: (typeof vms)[number];
		  }
		| {readonly kind: 'joining' | 'slow-store'}
		| {readonly kind: 'busy'; readonly keys: readonly number[]}
	);

const times = {
	afterMs: fc.integer({min: 0, max: 2500}),
	// What a server's end lets be on its way is over before it is back.
	forMs: fc.integer({min: 800, max: 7000}),
	ms: fc.integer({min: 50, max: 6000}),
};
const name = fc.constantFrom(...names);
const vm = fc.constantFrom(...vms);
const key = fc.integer({min: 0, max: 65_535});

const single: fc.Arbitrary<Trouble> = fc.oneof(
	{
		weight: 4,
		arbitrary: fc.record({
			kind: fc.constantFrom(...serverKinds),
			name,
			...times,
		}),
	},
	{
		weight: 3,
		arbitrary: fc.record({
			kind: fc.constantFrom(...daemonKinds),
			vm,
			...times,
		}),
	},
	fc.record({
		kind: fc.constantFrom('joining' as const, 'slow-store' as const),
		...times,
	}),
	fc.record({
		kind: fc.constant('busy' as const),
		keys: fc.array(key, {minLength: 2, maxLength: 6}),
		...times,
	}),
);

/** A server answers late while its keeper changes, and then gives up its keys. */
const lateThenMoved: fc.Arbitrary<readonly Trouble[]> = fc
	.record({
		name,
		vm,
		kind: fc.constantFrom(...daemonKinds),
		lateMs: fc.integer({min: 1500, max: 6000}),
		gapMs: fc.integer({min: 0, max: 2000}),
		keys: fc.array(key, {minLength: 2, maxLength: 6}),
		move: fc.constantFrom(
			'leaving' as const,
			'off-list' as const,
			'busy' as const,
		),
	})
	.map(({name: at, vm: by, kind, lateMs, gapMs, keys, move}) => [
		{kind: 'late', name: at, afterMs: 500, forMs: 1600, ms: lateMs},
		{kind, vm: by, afterMs: 1500, forMs: 6000, ms: 300},
		move === 'busy'
			? {kind: 'busy', keys, afterMs: gapMs, forMs: 5000, ms: 0}
			: {kind: move, name: at, afterMs: gapMs, forMs: 5000, ms: 0},
	]);

/** One trouble after the other, most of which overlap. */
export const stories: fc.Arbitrary<readonly Trouble[]> = fc
	.array(
		fc.oneof(
			{weight: 3, arbitrary: single.map((one) => [one] as const)},
			{weight: 1, arbitrary: lateThenMoved},
		),
		{minLength: 2, maxLength: 7},
	)
	.map((parts) => parts.flat());

/** Brings about what is wrong in the fleet now, and undoes what is not any more. */
export class Troubles {
	/** The newest runs of servers that have crashed. */
	readonly #runs = new Map<string, ServerRun>();
	#lasting: readonly Trouble[] = [];
	#joined: readonly string[] = first;

	constructor(private readonly fleet: Fleet) {}

	begin(trouble: Trouble): void {
		this.#lasting = [...this.#lasting, trouble];
		if ('vm' in trouble) {
			this.#halt(trouble);
		} else if ('name' in trouble) {
			this.#crash(trouble);
		} else if (trouble.kind === 'joining') {
			this.#joined = names;
		}

		this.#lay();
	}

	end(trouble: Trouble): void {
		this.#lasting = this.#lasting.filter((one) => one !== trouble);
		if ('vm' in trouble) {
			this.#goOn(trouble);
		} else if ('name' in trouble) {
			this.#startAgain(trouble);
		}

		this.#lay();
	}

	#halt({kind, vm: at}: Extract<Trouble, {vm: unknown}>): void {
		const {clock} = this.#daemon(at);
		if (isFreeze(kind)) {
			clock.freeze();
		} else if (kind === 'killed') {
			clock.end();
		} else if (kind === 'stopped') {
			void this.#stop(at);
		}
	}

	#goOn({kind, vm: at}: Extract<Trouble, {vm: unknown}>): void {
		if (isFreeze(kind)) {
			this.#daemon(at).clock.thaw(kind === 'stood-still');
		} else if (kind === 'killed' || kind === 'stopped') {
			this.fleet.restart(vms.indexOf(at));
		}
	}

	#crash({kind, name: at}: Extract<Trouble, {name: unknown}>): void {
		const {orders} = this.fleet;
		const address = this.#addressOf(at);
		if (isEnd(kind)) {
			orders.crash(address);
		}

		if (kind === 'replaced' || kind === 'usurped') {
			orders.replaced.set(address, 'another');
		}
	}

	/** Where another server has its address for good, a server comes back at a new one. */
	#startAgain({kind, name: at}: Extract<Trouble, {name: unknown}>): void {
		if (!isEnd(kind)) {
			return;
		}

		const {orders} = this.fleet;
		const startedAt = (this.#runs.get(at)?.startedAt ?? 1) + 1;
		const former = this.#addressOf(at);
		orders.crash(former);
		if (kind === 'usurped') {
			orders.replaced.delete(former);
		}

		const isTaken = orders.replaced.has(former);
		const address = isTaken ? `${at}${startedAt}` : former;
		this.#runs.set(at, {startedAt, address});
	}

	#daemon(at: (typeof vms)[number]) {
		return this.fleet.daemons[vms.indexOf(at)];
	}

	async #stop(at: (typeof vms)[number]): Promise<void> {
		const {clock, keeper} = this.#daemon(at);
		await clock.turn();
		await keeper.stop();
	}

	/** The name of the daemon, or the address of the server, that the trouble is about. */
	#placeOf(trouble: Trouble): string {
		if ('name' in trouble) {
			return this.#addressOf(trouble.name);
		}

		return 'vm' in trouble ? trouble.vm : '';
	}

	#addressOf(at: string): string {
		return this.#runs.get(at)?.address ?? at;
	}

	/** Sets what holds for as long as a trouble lasts. */
	#lay(): void {
		const {orders, shared} = this.fleet;
		refill(orders.silent, this.#where('silent'));
		refill(orders.refusing, this.#where('refusing', 'crashed'));
		refill(orders.unanswered, this.#where('unanswered'));
		refill(shared.cut, this.#where('cut'));
		refill(shared.unanswered, this.#where('unanswered-writes'));
		reset(orders.late, this.#howMuch('late', 6000));
		reset(orders.wayMs, this.#howMuch('far', 750));
		reset(orders.releaseMs, this.#howMuch('slow-release', 2500));
		reset(shared.late, this.#howMuch('late-writes', 6000));
		reset(shared.slow, this.#howMuch('slow-answers', 1400));
		const slow = this.#lasting.filter(({kind}) => kind === 'slow-store');
		shared.answerMs = Math.min(1400, ...slow.map(({ms}) => ms));
		if (slow.length === 0) {
			shared.answerMs = 0;
		}

		this.#list();
		this.#see();
	}

	#list(): void {
		const leaving = this.#where('leaving');
		const off = this.#where('off-list');
		const isIn = (places: readonly string[], at: string) =>
			places.includes(this.#addressOf(at));
		const listed = this.#joined.filter((one) => !isIn(off, one));
		this.fleet.list(
			listed.filter((one) => !isIn(leaving, one)),
			listed.filter((one) => isIn(leaving, one)),
			this.#runs,
		);
	}

	/** Requests for some keys, which keep servers busy. */
	#see(): void {
		const keys = this.#lasting.flatMap((one) =>
			one.kind === 'busy' ? one.keys : [],
		);
		this.fleet.see({
			rates: new Map(keys.map((one) => [one, 6])),
			runMs: new Map(keys.length > 0 ? names.map((one) => [one, 200]) : []),
		});
	}

	/** Servers or daemons with such a trouble. */
	#where(...kinds: ReadonlyArray<Trouble['kind']>): readonly string[] {
		return this.#lasting
			.filter(({kind}) => kinds.includes(kind))
			.map((one) => this.#placeOf(one));
	}

	/** The same with the delay that it makes, at most `maxMs`. */
	#howMuch(
		kind: Trouble['kind'],
		maxMs: Millis,
	): ReadonlyArray<readonly [string, Millis]> {
		return this.#lasting
			.filter((one) => one.kind === kind)
			.map((one) => [this.#placeOf(one), Math.min(maxMs, one.ms)]);
	}
}

/** Whether the server's run is over. */
function isEnd(kind: Trouble['kind']): boolean {
	return kind === 'crashed' || kind === 'replaced' || kind === 'usurped';
}

function isFreeze(kind: Trouble['kind']): boolean {
	return kind === 'frozen' || kind === 'stood-still';
}

function refill(places: Set<string>, next: readonly string[]): void {
	places.clear();
	for (const place of next) {
		places.add(place);
	}
}

function reset<T>(
	places: Map<string, T>,
	next: ReadonlyArray<readonly [string, T]>,
): void {
	places.clear();
	for (const [place, value] of next) {
		places.set(place, value);
	}
}
