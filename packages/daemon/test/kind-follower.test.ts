import test from 'ava';
import {SeededRandom} from '@kingcuproute/core';
import {
	ObjectStore,
	type ObjectError,
	type StoredObject,
} from '@kingcuproute/platform';
import {Left, Right, type Either} from 'purify-ts';
import {pino} from 'pino';
import {KindFollower} from '../src/gateway/kind-follower.js';
import {LineStream} from '../src/log/line-stream.js';
import {Log} from '../src/log/log.js';
import {Timers} from './timers.js';

function stored(name: string, revision: number): StoredObject {
	return {name, revision, spec: undefined, status: undefined, rest: {}};
}

/** A store that counts its calls; a watch with nothing to tell ends when its wait does. */
class CountedStore extends ObjectStore {
	readonly calls: string[] = [];
	held: readonly StoredObject[] = [stored('a', 1)];
	failing = false;
	/** Calls are taken and not answered. */
	silent = false;
	/** Watches end with the first change. */
	prompt = false;
	/** Answers to watches cannot be read. */
	garbled = false;
	unreadable: readonly string[] = [];

	constructor(private readonly timers: Timers) {
		super();
	}

	get revision(): number {
		return Math.max(...this.held.map(({revision}) => revision));
	}

	override async list(_kind: string, stale = false) {
		this.calls.push(stale ? 'stale list' : 'list');
		return this.failing
			? Left<ObjectError>({kind: 'refused', message: 'failing'})
			: Right({
					revision: this.revision,
					objects: this.held,
					unreadable: this.unreadable,
				});
	}

	override async watch(_kind: string, revision: number, waitMs: number) {
		this.calls.push('watch');
		if (this.silent) {
			await this.timers.sleep(waitMs + 1000);
			return Left<ObjectError>({kind: 'unknown', message: 'no answer'});
		}

		const stepMs = this.prompt ? 10 : waitMs;
		for (let waited = 0; waited < waitMs; waited += stepMs) {
			if (this.prompt && this.revision > revision) {
				break;
			}

			await this.timers.sleep(stepMs);
		}

		if (this.garbled) {
			return Left<ObjectError>({kind: 'unreadable', message: 'no JSON'});
		}

		const changes = this.held
			.filter((object) => object.revision > revision)
			.map((object) => ({object, removed: false}));
		return this.failing
			? Left<ObjectError>({kind: 'refused', message: 'failing'})
			: Right({revision: this.revision, changes});
	}

	override async write(): Promise<Either<ObjectError, never>> {
		return Left({kind: 'missing'});
	}

	override async remove() {
		return Right(undefined);
	}
}

function following() {
	const clock = new Timers();
	const store = new CountedStore(clock);
	const lines: string[] = [];
	const stream = new LineStream((line) => lines.push(line));
	const log = new Log(pino({base: {}}, stream));
	const random = new SeededRandom(1);
	const follower = new KindFollower('k', {store, clock, random, log});
	return {clock, store, follower, lines};
}

test('a kind that is followed slowly is listed now and then, and watched again when it is not', async (t) => {
	const {clock, store, follower} = following();
	follower.slow = true;
	follower.start();
	await clock.pass(30_000);
	const [first, ...others] = store.calls;
	t.is(first, 'list');
	t.true(others.length >= 3 && others.length <= 12, `${others.join(' ')}`);
	t.true(others.every((call) => call === 'stale list'));
	store.held = [stored('a', 1), stored('b', 2)];
	follower.slow = false;
	await clock.pass(10_000);
	t.is(store.calls.at(-1), 'watch');
	t.deepEqual([...follower.objects.value!.keys()], ['a', 'b']);
	follower.stop();
});

test('changes that come close together cost few calls, and none is late by more than the time to gather them', async (t) => {
	const {clock, store, follower} = following();
	const gatherMs = 500;
	store.prompt = true;
	follower.gatherMs = gatherMs;
	follower.start();
	await clock.pass(100);
	const before = store.calls.length;
	const changes = 40;
	const stepMs = 100;
	for (let revision = 2; revision < 2 + changes; revision++) {
		store.held = [stored('a', revision)];
		await clock.pass(stepMs);
		const heard = follower.objects.value!.get('a')!.revision;
		t.true((revision - heard) * stepMs <= gatherMs);
	}

	const most = (changes * stepMs) / gatherMs + 2;
	t.true(store.calls.length - before <= most, `${store.calls.length}`);
	await clock.pass(gatherMs);
	t.is(follower.objects.value!.get('a')!.revision, changes + 1);
	follower.stop();
});

test('an old listing does not replace newer news', async (t) => {
	const {clock, store, follower} = following();
	store.held = [stored('a', 5)];
	follower.slow = true;
	follower.start();
	await clock.pass(100);
	store.held = [stored('a', 3)];
	await clock.pass(10_000);
	t.is(follower.objects.value!.get('a')!.revision, 5);
	follower.stop();
});

test('a follower tells when a call last failed', async (t) => {
	const {clock, store, follower} = following();
	follower.start();
	await clock.pass(1000);
	t.is(follower.lastFailureAt, -Infinity);
	store.failing = true;
	await clock.pass(8000);
	t.true(follower.lastFailureAt > 4000);
	follower.stop();
});

test('news come within a few seconds of the return of a store that was silent', async (t) => {
	const {clock, store, follower} = following();
	follower.start();
	await clock.pass(1000);
	store.silent = true;
	await clock.pass(14_000);
	store.silent = false;
	store.held = [stored('a', 2)];
	await clock.pass(2500);
	t.is(follower.objects.value!.get('a')!.revision, 2);
	follower.stop();
});

test('after news that cannot be read the kind is listed, and what is held stays until then', async (t) => {
	const {clock, store, follower, lines} = following();
	follower.start();
	await clock.pass(1000);
	store.garbled = true;
	store.failing = true;
	await clock.pass(20_000);
	t.deepEqual([...follower.objects.value!.keys()], ['a']);
	store.failing = false;
	store.held = [stored('a', 1), stored('b', 2)];
	await clock.pass(2000);
	t.deepEqual([...follower.objects.value!.keys()], ['a', 'b']);
	t.is(lines.filter((line) => line.includes('event=store-lost')).length, 1);
	follower.stop();
});

test('an object that cannot be read is logged once', async (t) => {
	const {clock, store, follower, lines} = following();
	store.unreadable = ['odd'];
	follower.slow = true;
	follower.start();
	await clock.pass(30_000);
	const told = lines.filter((line) => line.includes('objects-unreadable'));
	t.is(told.length, 1);
	t.regex(told[0], /count=1 names=odd/);
	follower.stop();
});

test('a reader of the objects that fails does not end the following', async (t) => {
	const {clock, store, follower, lines} = following();
	const unsubscribe = follower.objects.subscribe(() => {
		throw new Error('not meant for this');
	});
	follower.start();
	await clock.pass(10_000);
	unsubscribe();
	store.held = [stored('a', 1), stored('b', 2)];
	await clock.pass(10_000);
	t.deepEqual([...follower.objects.value!.keys()], ['a', 'b']);
	const lost = lines.filter((line) => line.includes('event=store-lost'));
	t.is(lost.length, 1);
	t.regex(lost[0], /not meant for this/);
	follower.stop();
});
