/** How late a reader in touch with the store learns of changes while its watchers have troubles. */
import process from 'node:process';
import 'reflect-metadata';
import test from 'ava';
import {SeededRandom, type Millis, type Random} from '@kingcuproute/core';
import {
	ObjectStore,
	type ObjectError,
	type StoredObject,
} from '@kingcuproute/platform';
import {Left, Right} from 'purify-ts';
import {type KindFollower} from '../src/gateway/kind-follower.js';
import {StoreContact} from '../src/gateway/store-contact.js';
import {serverReportMs, startReader, startWatcher} from './relayed-reader.js';
import {SilentMesh} from './silent-mesh.js';
import {ManualClock} from './timers.js';

/** The least time within which the users' sites ask for a change to be in force. */
const applyMs: Millis = 2000;
const stepMs: Millis = 20;
/** As the store's client bounds its calls. */
const callMs: Millis = 1500;
const slackMs: Millis = 1000;

/** How something reacts to calls. */
type Mode = 'answers' | 'refuses' | 'silent';

/** The versions of one object, and when each was written. */
class Versions {
	readonly writtenAt: Millis[] = [];

	constructor(private readonly clock: ManualClock) {}

	get newest(): number {
		return this.writtenAt.length;
	}

	write(): void {
		this.writtenAt.push(this.clock.now());
	}
}

/** The store as one daemon reaches it. */
class ReachedStore extends ObjectStore {
	mode: Mode = 'answers';
	calls = 0;

	constructor(
		private readonly versions: Versions,
		private readonly clock: ManualClock,
	) {
		super();
	}

	override async list() {
		this.calls++;
		const failure = await this.#failure(callMs);
		const {newest: revision} = this.versions;
		return failure ?? Right({revision, objects: [this.#object(revision)]});
	}

	override async watch(_kind: string, revision: number, waitMs: Millis) {
		this.calls++;
		const until = this.clock.now() + waitMs;
		while (
			this.clock.now() < until &&
			this.mode === 'answers' &&
			this.versions.newest === revision
		) {
			await this.clock.sleep(stepMs);
		}

		const leftMs = Math.max(0, until - this.clock.now());
		const failure = await this.#failure(
			waitMs === 0 ? callMs : leftMs + slackMs,
		);
		const {newest} = this.versions;
		const changes =
			newest > revision ? [{object: this.#object(newest), removed: false}] : [];
		return failure ?? Right({revision: newest, changes});
	}

	override async write(): Promise<never> {
		throw new Error('not used');
	}

	override async remove(): Promise<never> {
		throw new Error('not used');
	}

	#object(revision: number): StoredObject {
		return {name: 'a', revision, spec: {}, status: undefined, rest: {}};
	}

	async #failure(timeoutMs: Millis) {
		if (this.mode === 'refuses') {
			return Left<ObjectError>({kind: 'refused', message: 'refused'});
		}

		if (this.mode === 'silent') {
			await this.clock.sleep(timeoutMs);
			return Left<ObjectError>({kind: 'unknown', message: 'no answer'});
		}

		return undefined;
	}
}

/** Watchers, two in each of two domains, and a reader in the first of these. */
class RelayedFleet {
	readonly clock = new ManualClock();
	readonly versions = new Versions(this.clock);
	readonly mesh = new SilentMesh(this.clock);
	readonly stores = new Map<string, ReachedStore>();
	readonly reader: KindFollower;
	/** The store as the reader reaches it. */
	readonly ownStore = new ReachedStore(this.versions, this.clock);
	/** How late the reader had each version. */
	readonly delays: Millis[] = [];

	constructor(readonly random: Random) {
		this.versions.write();
		const watchers = ['a1', 'a2', 'b1', 'b2'];
		const {clock, mesh} = this;
		for (const vm of watchers) {
			const store = new ReachedStore(this.versions, clock);
			this.stores.set(vm, store);
			mesh.at = vm;
			startWatcher(this, store);
		}

		const contact = new StoreContact(clock, {serverReportMs});
		this.reader = startReader(this, this.ownStore, contact, watchers);
		let known = 0;
		this.reader.objects.subscribe((objects) => {
			const revision = objects?.get('a')?.revision ?? 0;
			for (; known < revision; known++) {
				this.delays.push(clock.now() - this.versions.writtenAt[known]);
			}
		});
	}
}

/** Plays troubles of up to `count` watchers at a time, at random moments, and writes a version at each; returns the longest delay. */
async function longestDelay(seed: number, count: number): Promise<Millis> {
	const fleet = new RelayedFleet(new SeededRandom(seed));
	const {random, clock, versions, mesh, stores} = fleet;
	await clock.advance(5000);
	fleet.delays.length = 0;
	for (let step = 0; step < 12; step++) {
		mesh.silent.clear();
		for (const store of stores.values()) {
			store.mode = 'answers';
		}

		const names = [...stores.keys()];
		for (let index = 0; index < count; index++) {
			const [vm] = names.splice(random.below(names.length), 1);
			const trouble = random.below(3);
			if (trouble === 0) {
				mesh.silent.add(vm);
			} else {
				stores.get(vm)!.mode = trouble === 1 ? 'refuses' : 'silent';
			}
		}

		await clock.advance(random.below(1500));
		versions.write();
		await clock.advance(2500 + random.below(6000));
	}

	await clock.advance(20_000);
	return Math.max(...fleet.delays);
}

for (const count of [1, 2, 3, 4]) {
	test(`a reader in touch with the store has each change in time while ${count} of 4 watchers are silent or without the store`, async (t) => {
		for (let run = 0; run < 10; run++) {
			const seed = Number(process.env.SEED) + run;
			const delayMs = await longestDelay(seed, count);
			t.true(delayMs <= applyMs, `seed ${seed}: ${delayMs} ms`);
		}
	});
}

test('a reader whose messages are slow keeps reading from its watchers, and has each change in time', async (t) => {
	for (const delayMs of [100, 250, 350]) {
		const fleet = new RelayedFleet(new SeededRandom(Number(process.env.SEED)));
		const {clock, versions, mesh, ownStore, delays, random} = fleet;
		await clock.advance(5000);
		mesh.delayMs = delayMs;
		await clock.advance(2000);
		delays.length = 0;
		ownStore.calls = 0;
		for (let step = 0; step < 10; step++) {
			versions.write();
			await clock.advance(500 + random.below(3000));
		}

		t.is(ownStore.calls, 0, `${delayMs} ms: calls to the store`);
		t.true(Math.max(...delays) <= applyMs, `${Math.max(...delays)} ms`);
	}
});
