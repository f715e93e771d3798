import process from 'node:process';
import 'reflect-metadata';
import test from 'ava';
import {SeededRandom, type Random} from '@kingcuproute/core';
import {Mesh, type Handler, type MeshError, type Rpc} from '@kingcuproute/mesh';
import {
	ObjectStore,
	type ObjectChange,
	type ObjectError,
	type StoredObject,
} from '@kingcuproute/platform';
import {Left, Right, type Either} from 'purify-ts';
import {type KindFollower} from '../src/gateway/kind-follower.js';
import {StoreContact} from '../src/gateway/store-contact.js';
import {serverReportMs, startReader, startWatcher} from './relayed-reader.js';
import {ManualClock} from './timers.js';

/** After a change the store answers a poll within this time. */
const storeDelayMs = 20;

/** A store with its whole history. */
class HistoryStore extends ObjectStore {
	failing = false;
	/** When each change was made, by its revision. */
	readonly changedAt = new Map<number, number>();
	readonly #changes: ObjectChange[] = [];

	constructor(private readonly clock: ManualClock) {
		super();
	}

	get objects(): ReadonlyMap<string, StoredObject> {
		const objects = new Map<string, StoredObject>();
		for (const {object, removed} of this.#changes) {
			if (removed) {
				objects.delete(object.name);
			} else {
				objects.set(object.name, object);
			}
		}

		return objects;
	}

	change(name: string, removed: boolean): void {
		const revision = this.#changes.length + 1;
		const object = {name, revision, spec: {}, status: undefined, rest: {}};
		this.#changes.push({object, removed});
		this.changedAt.set(revision, this.clock.now());
	}

	override async list() {
		return this.failing
			? Left<ObjectError>({kind: 'refused', message: 'failing'})
			: Right({
					revision: this.#changes.length,
					objects: [...this.objects.values()],
				});
	}

	override async watch(_kind: string, revision: number, waitMs: number) {
		const until = this.clock.now() + waitMs;
		while (this.clock.now() < until && this.#changes.length === revision) {
			await this.clock.sleep(storeDelayMs);
		}

		return this.failing
			? Left<ObjectError>({kind: 'refused', message: 'failing'})
			: Right({
					revision: this.#changes.length,
					changes: this.#changes.slice(revision),
				});
	}

	override async write(): Promise<never> {
		throw new Error('not used');
	}

	override async remove(): Promise<never> {
		throw new Error('not used');
	}
}

/** Calls between daemons that get lost, arrive late or twice, or are answered as an earlier one was. */
class FaultyMesh extends Mesh {
	faulty = false;
	/** Whether earlier answers are given again while it is faulty. */
	repeats = true;
	readonly handlers = new Map<string, (question: unknown) => unknown>();
	readonly #earlier = new Map<string, unknown>();

	constructor(
		private readonly clock: ManualClock,
		private readonly random: Random,
		/** Handlers are registered for this daemon. */
		public at = '',
	) {
		super();
	}

	override serve<Q, A>({path}: Rpc<Q, A>, handler: Handler<Q, A>): void {
		this.handlers.set(`${this.at} ${path}`, handler as () => unknown);
	}

	override async call<Q, A>(
		address: string,
		{path}: Rpc<Q, A>,
		question: Q,
		timeoutMs: number,
	): Promise<Either<MeshError, A>> {
		const handler = this.handlers.get(`${address} ${path}`)!;
		const answer = async (): Promise<Either<MeshError, A>> => {
			await this.#delay();
			try {
				const earlier = this.#earlier.get(`${address} ${path}`) as A;
				const present = (await handler(question)) as A;
				this.#earlier.set(`${address} ${path}`, present);
				await this.#delay();
				const isRepeated = this.#happens(0.1) && this.repeats;
				return Right(earlier && isRepeated ? earlier : present);
			} catch (error) {
				return Left({kind: 'refused', message: String(error)});
			}
		};

		if (this.#happens(0.2)) {
			void answer();
		}

		const late = async (): Promise<Either<MeshError, A>> => {
			await this.clock.sleep(timeoutMs);
			return Left({kind: 'unreachable', message: 'late'});
		};

		return this.#happens(0.1) ? late() : Promise.race([answer(), late()]);
	}

	#happens(share: number): boolean {
		return this.faulty && this.random.fraction() < share;
	}

	async #delay(): Promise<void> {
		await this.clock.sleep(this.#happens(0.3) ? this.random.below(900) : 1);
	}
}

/** Two watchers, in different domains, and a reader. */
class RelayedFleet {
	readonly clock = new ManualClock();
	readonly random: Random;
	readonly store = new HistoryStore(this.clock);
	readonly mesh: FaultyMesh;
	readonly reader: KindFollower;
	readonly contact = new StoreContact(this.clock, {serverReportMs});
	readonly watchers: KindFollower[] = [];

	constructor(seed: number) {
		this.random = new SeededRandom(seed);
		this.mesh = new FaultyMesh(this.clock, this.random);
		this.store.change('a', false);
		const watchers = ['w1', 'x1'];
		for (const vm of watchers) {
			this.mesh.at = vm;
			const watcher = startWatcher(this, this.store);
			// Shorter than the contact age at which it is left, as no other kind is polled meanwhile.
			watcher.gatherMs = 400;
			this.watchers.push(watcher);
		}

		this.reader = startReader(this, this.store, this.contact, watchers);
	}
}

const namesOf = (objects: ReadonlyMap<string, StoredObject> | undefined) =>
	Object.fromEntries(
		[...(objects ?? [])].map(([name, {revision}]) => [name, revision]),
	);

test('a view read through peers never goes back and becomes current, whatever messages are lost, late, doubled or old', async (t) => {
	for (let run = 0; run < 15; run++) {
		const seed = Number(process.env.SEED) + run;
		const fleet = new RelayedFleet(seed);
		const newest = new Map<string, number>();
		let shown: ReadonlyMap<string, StoredObject> = new Map();
		fleet.reader.objects.subscribe((objects = new Map()) => {
			for (const [name, {revision}] of objects) {
				const isNew = !shown.has(name) && newest.has(name);
				const least = (newest.get(name) ?? 0) + (isNew ? 1 : 0);
				t.true(revision >= least, `seed ${seed}: ${name} went back`);
				newest.set(name, revision);
			}

			shown = objects;
		});
		await fleet.clock.advance(3000);
		fleet.mesh.faulty = true;
		for (let step = 0; step < 25; step++) {
			const name = ['a', 'b', 'c'][fleet.random.below(3)];
			fleet.store.change(name, fleet.random.below(3) === 0);
			fleet.store.failing = fleet.random.below(4) === 0;
			await fleet.clock.advance(fleet.random.below(700));
		}

		fleet.mesh.faulty = false;
		fleet.store.failing = false;
		await fleet.clock.advance(10_000);
		t.deepEqual(
			namesOf(fleet.reader.objects.value),
			namesOf(fleet.store.objects),
			`seed ${seed}`,
		);
	}
});

test('a reader takes no change for later than it was made, however long its way through watchers was', async (t) => {
	for (let run = 0; run < 15; run++) {
		const seed = Number(process.env.SEED) + run;
		const fleet = new RelayedFleet(seed);
		let shown: ReadonlyMap<string, StoredObject> = new Map();
		fleet.reader.objects.subscribe((objects = new Map()) => {
			const changed = [...objects.values()].filter(
				({name, revision}) => shown.get(name)?.revision !== revision,
			);
			const madeAt = changed.map(({revision}) =>
				fleet.store.changedAt.get(revision)!,
			);
			const {changedSince} = fleet.reader.reading;
			const lateMs = changedSince - Math.min(...madeAt);
			t.true(lateMs <= storeDelayMs, `seed ${seed}: ${lateMs} ms`);
			shown = objects;
		});
		await fleet.clock.advance(3000);
		fleet.mesh.faulty = true;
		fleet.mesh.repeats = false;
		for (let step = 0; step < 25; step++) {
			fleet.store.change(['a', 'b', 'c'][fleet.random.below(3)], false);
			fleet.store.failing = fleet.random.below(6) === 0;
			await fleet.clock.advance(fleet.random.below(1500));
		}
	}
});

test('a reader knows when a change was made to within the gathering of its watcher', async (t) => {
	const fleet = new RelayedFleet(3);
	await fleet.clock.advance(5000);
	for (let step = 0; step < 20; step++) {
		fleet.store.change('b', false);
		const {revision} = fleet.store.objects.get('b')!;
		while (fleet.reader.objects.value?.get('b')?.revision !== revision) {
			await fleet.clock.advance(10);
		}

		const madeAt = fleet.store.changedAt.get(revision)!;
		const earlyMs = madeAt - fleet.reader.reading.changedSince;
		t.true(earlyMs <= 900, `${earlyMs} ms`);
		await fleet.clock.advance(fleet.random.below(1500));
	}
});

test('a reader has changes 300 ms after its watcher at the latest, and its data is confirmed no later than by the store', async (t) => {
	const fleet = new RelayedFleet(1);
	await fleet.clock.advance(5000);
	for (let step = 0; step < 20; step++) {
		fleet.store.change('b', false);
		const [watcher] = fleet.watchers;
		const {revision} = fleet.store.objects.get('b')!;
		while (watcher.objects.value?.get('b')?.revision !== revision) {
			await fleet.clock.advance(10);
		}

		await fleet.clock.advance(300);
		t.is(fleet.reader.objects.value?.get('b')?.revision, revision);
		t.true(fleet.reader.lastSuccessAt <= fleet.clock.now());
		t.true(fleet.contact.lastAnswerAt <= fleet.clock.now());
		await fleet.clock.advance(fleet.random.below(1000));
	}
});

test('while the store fails for all, a reader hardly calls it, knows of the failure, and is current soon after', async (t) => {
	const fleet = new RelayedFleet(2);
	await fleet.clock.advance(5000);
	const confirmedAt = fleet.reader.lastSuccessAt;
	fleet.store.failing = true;
	await fleet.clock.advance(10_000);
	t.true(fleet.contact.lastFailureAt > confirmedAt, 'contact');
	t.true(fleet.reader.lastFailureAt > confirmedAt, 'failure');
	t.true(fleet.reader.lastSuccessAt < confirmedAt + 5000, 'success');
	fleet.store.failing = false;
	fleet.store.change('c', false);
	await fleet.clock.advance(2500);
	t.true(fleet.reader.objects.value?.has('c'));
});
