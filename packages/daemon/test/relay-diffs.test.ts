/** What readers of a large range table get from their watchers for each small change. */
import process from 'node:process';
import 'reflect-metadata';
import test from 'ava';
import {
	applyMoves,
	maxKey,
	SeededRandom,
	type KeyMove,
	type Millis,
	type Random,
	type RangeTable,
} from '@kingcuproute/core';
import {
	follow,
	type FollowAnswerMessage,
	type MeshError,
	type Rpc,
} from '@kingcuproute/mesh';
import {
	ObjectStore,
	rangeTablesKind,
	rangeTableSpec,
	type StoredObject,
} from '@kingcuproute/platform';
import {Right, type Either} from 'purify-ts';
import {type KindFollower} from '../src/gateway/kind-follower.js';
import {contentLen} from '../src/gateway/relay-messages.js';
import {StoreContact} from '../src/gateway/store-contact.js';
import {listedServer} from './gateway-keepers.js';
import {serverReportMs, startReader, startWatcher} from './relayed-reader.js';
import {SilentMesh} from './silent-mesh.js';
import {ManualClock} from './timers.js';

const stepMs: Millis = 20;
const ranges = 2000;

/** One range table in the store, and all that it was. */
class TableStore extends ObjectStore {
	readonly versions: StoredObject[] = [];
	#table: RangeTable = {service: 's', nextFence: 1, ranges: []};

	constructor(private readonly clock: ManualClock) {
		super();
		const len = Math.ceil((maxKey + 1) / ranges);
		for (let from = 0; from <= maxKey; from += len) {
			this.#apply(from, Math.min(maxKey, from + len - 1), from % 200);
		}

		this.#write();
	}

	get newest(): StoredObject {
		return this.versions.at(-1)!;
	}

	/** Gives some keys to another server. */
	move(random: Random): void {
		const from = random.below(maxKey - 100);
		this.#apply(from, from + random.below(100), random.below(200));
		this.#write();
	}

	override async list() {
		const {newest} = this;
		return Right({revision: newest.revision, objects: [newest]});
	}

	override async watch(_kind: string, revision: number, waitMs: Millis) {
		const until = this.clock.now() + waitMs;
		while (this.clock.now() < until && this.newest.revision === revision) {
			await this.clock.sleep(stepMs);
		}

		const {newest} = this;
		const changes =
			newest.revision > revision ? [{object: newest, removed: false}] : [];
		return Right({revision: newest.revision, changes});
	}

	override async write(): Promise<never> {
		throw new Error('not used');
	}

	override async remove(): Promise<never> {
		throw new Error('not used');
	}

	#apply(from: number, to: number, server: number): void {
		const target = listedServer(`i-${server}`);
		const move: KeyMove = {from, to, holder: undefined, target};
		this.#table = applyMoves(this.#table, [move]);
	}

	#write(): void {
		this.versions.push({
			name: 's',
			revision: this.versions.length + 1,
			spec: rangeTableSpec(this.#table),
			status: undefined,
			rest: {},
		});
	}
}

/** Counts the content that followers of watchers are sent. */
class CountingMesh extends SilentMesh {
	sentLen = 0;

	override async call<Q, A>(
		address: string,
		rpc: Rpc<Q, A>,
		question: Q,
		timeoutMs: Millis,
	): Promise<Either<MeshError, A>> {
		const answer = await super.call(address, rpc, question, timeoutMs);
		if (rpc.path === follow.path) {
			answer.ifRight((message) => {
				const {readings} = message as FollowAnswerMessage;
				for (const {changes} of readings ?? []) {
					this.sentLen += contentLen(changes ?? []);
				}
			});
		}

		return answer;
	}
}

type Fleet = {
	readonly clock: ManualClock;
	readonly random: Random;
	readonly mesh: CountingMesh;
	readonly store: TableStore;
	readonly reader: KindFollower;
};

const watchers = ['a1', 'b1'];

function startFleet(seed: number): Fleet {
	const clock = new ManualClock();
	const random = new SeededRandom(seed);
	const mesh = new CountingMesh(clock);
	const store = new TableStore(clock);
	const parts = {clock, random, mesh};
	for (const vm of watchers) {
		mesh.at = vm;
		startWatcher(parts, store, rangeTablesKind);
	}

	const contact = new StoreContact(clock, {serverReportMs});
	const reader = startReader(parts, store, contact, watchers, rangeTablesKind);
	return {clock, random, mesh, store, reader};
}

test('a reader of a large table gets what has changed of it', async (t) => {
	const {clock, random, mesh, store, reader} = startFleet(1);
	await clock.advance(5000);
	const wholeLen = JSON.stringify(store.newest.spec).length;
	t.true(wholeLen > 30_000);
	// The first change after the start may be sent whole.
	store.move(random);
	await clock.advance(3000);
	mesh.sentLen = 0;
	for (let count = 0; count < 20; count++) {
		store.move(random);
		await clock.advance(500);
	}

	await clock.advance(3000);
	t.deepEqual(reader.objects.value?.get('s'), store.newest);
	t.true(mesh.sentLen < wholeLen, `${mesh.sentLen} of ${wholeLen}`);
});

test('a reader has each revision of a table as it was written, whichever watcher it reads from', async (t) => {
	for (let run = 0; run < 5; run++) {
		const seed = Number(process.env.SEED) + run;
		const {clock, random, mesh, store, reader} = startFleet(seed);
		reader.objects.subscribe((objects) => {
			const object = objects?.get('s');
			const version = store.versions[(object?.revision ?? 0) - 1];
			t.deepEqual(object, version, `seed ${seed}`);
		});
		await clock.advance(3000);
		for (let step = 0; step < 20; step++) {
			mesh.silent.clear();
			if (random.below(3) === 0) {
				mesh.silent.add(watchers[random.below(watchers.length)]);
			}

			store.move(random);
			await clock.advance(random.below(1500));
		}

		mesh.silent.clear();
		await clock.advance(10_000);
		t.deepEqual(reader.objects.value?.get('s'), store.newest);
	}
});
