import test from 'ava';
import {SeededRandom} from '@kingcuproute/core';
import {
	ObjectStore,
	type ObjectError,
	type StoredObject,
} from '@kingcuproute/platform';
import {Left, Right, type Either} from 'purify-ts';
import {KindFollower} from '../src/gateway/kind-follower.js';
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
			: Right({revision: this.revision, objects: this.held});
	}

	override async watch(_kind: string, revision: number, waitMs: number) {
		this.calls.push('watch');
		if (this.silent) {
			await this.timers.sleep(waitMs + 1000);
			return Left<ObjectError>({kind: 'unknown', message: 'no answer'});
		}

		await this.timers.sleep(waitMs);
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
	const log = Log.to({level: 'silent', routingSample: 1}, {});
	const random = new SeededRandom(1);
	const follower = new KindFollower('k', {store, clock, random, log});
	return {clock, store, follower};
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
