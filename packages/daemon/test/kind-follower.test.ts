import test from 'ava';
import {CheckPace, revisionIn, SeededRandom} from '@kingcuproute/core';
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
import {ManualClock} from './timers.js';

function storedObject(name: string, revision: number): StoredObject {
	return {name, revision, spec: undefined, status: undefined, rest: {}};
}

/** A store that records the calls made to it. A watch without changes ends when its time is over. */
class FakeStore extends ObjectStore {
	readonly calls: string[] = [];
	held: readonly StoredObject[] = [storedObject('a', 1)];
	failing = false;
	/** Watches and checks are left unanswered. */
	silent = false;
	/** Watches are left unanswered until their time is over, as if their answers were lost; checks are answered. */
	losesWatches = false;
	/** Whether a watch ends with the first change, not only when its time is over. */
	endsOnChange = false;
	/** Whether the watch under way, or the next one, ends without an answer. */
	cutsNextWatch = false;
	/** Whether the history of changes is gone, whatever revision is asked from. */
	forgets = false;
	/** Whether answers to watches cannot be parsed. */
	watchesUnreadable = false;
	unreadable: readonly string[] = [];
	eraNumber = 0;
	/** How long answers are on their way. */
	wayMs = 0;

	constructor(private readonly manualClock: ManualClock) {
		super();
	}

	override get era() {
		return {number: this.eraNumber, since: 0, isFirst: false};
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

	override async watch(
		_kind: string,
		revision: number,
		waitMs: number,
		stale = false,
	) {
		this.calls.push(stale ? 'check' : 'watch');
		if (this.silent || (this.losesWatches && !stale)) {
			await this.manualClock.sleep(waitMs + 1000);
			return Left<ObjectError>({kind: 'unknown', message: 'no answer'});
		}

		if (this.forgets) {
			await this.manualClock.sleep(10);
			return Left<ObjectError>({kind: 'expired'});
		}

		const stepMs = this.endsOnChange ? 10 : waitMs;
		for (let waited = 0; waited < waitMs; waited += stepMs) {
			if (this.cutsNextWatch) {
				this.cutsNextWatch = false;
				return Left<ObjectError>({kind: 'unknown', message: 'cut'});
			}

			if (this.endsOnChange && this.revision > revision) {
				break;
			}

			await this.manualClock.sleep(stepMs);
		}

		if (this.watchesUnreadable) {
			return Left<ObjectError>({kind: 'unreadable', message: 'no JSON'});
		}

		const changes = this.held
			.filter((object) => object.revision > revision)
			.map((object) => ({object, removed: false}));
		if (this.wayMs > 0) {
			await this.manualClock.sleep(this.wayMs);
		}

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

/** As long as the users' sites allow outdated state after a disturbance. */
const outdatedMs = 3000;

function followersOfFakeStore(count: number) {
	const clock = new ManualClock();
	const store = new FakeStore(clock);
	const lines: string[] = [];
	const stream = new LineStream((line) => lines.push(line));
	const log = new Log(pino({base: {}}, stream));
	const random = new SeededRandom(1);
	const checkPace = CheckPace.within(outdatedMs);
	const context = {store, clock, random, log, checkPace};
	const followers = Array.from(
		{length: count},
		(_, index) => new KindFollower(`k${index}`, context),
	);
	return {clock, store, followers, lines};
}

function followerOfFakeStore() {
	const {followers, ...others} = followersOfFakeStore(1);
	const [follower] = followers;
	return {...others, follower};
}

test('a kind followed slowly is listed periodically, and watched again once `slow` is off', async (t) => {
	const {clock, store, follower} = followerOfFakeStore();
	store.endsOnChange = true;
	follower.slow = true;
	follower.start();
	await clock.advance(30_000);
	const [first, ...others] = store.calls;
	t.is(first, 'list');
	t.true(others.length >= 3 && others.length <= 12, `${others.join(' ')}`);
	t.true(others.every((call) => call === 'stale list'));
	store.held = [storedObject('a', 1), storedObject('b', 2)];
	follower.slow = false;
	await clock.advance(10_000);
	t.is(
		store.calls.findLast((call) => call !== 'check'),
		'watch',
	);
	t.deepEqual([...follower.objects.value!.keys()], ['a', 'b']);
	follower.stop();
});

test('changes in quick succession take few calls, and none is delayed by more than the gather time', async (t) => {
	const {clock, store, follower} = followerOfFakeStore();
	const gatherMs = 500;
	store.endsOnChange = true;
	follower.gatherMs = gatherMs;
	follower.start();
	await clock.advance(100);
	const before = store.calls.length;
	const changes = 40;
	const stepMs = 100;
	for (let revision = 2; revision < 2 + changes; revision++) {
		store.held = [storedObject('a', revision)];
		await clock.advance(stepMs);
		const known = follower.objects.value!.get('a')!.revision;
		t.true((revision - known) * stepMs <= gatherMs);
	}

	const maxCalls = (changes * stepMs) / gatherMs + 2;
	t.true(store.calls.length - before <= maxCalls, `${store.calls.length}`);
	await clock.advance(gatherMs);
	t.is(follower.objects.value!.get('a')!.revision, changes + 1);
	follower.stop();
});

test('a pause in which changes gather ends early once they are needed, but not before its least length', async (t) => {
	const {clock, store, follower} = followerOfFakeStore();
	store.endsOnChange = true;
	follower.gatherMs = 2000;
	follower.minGatherMs = 250;
	follower.start();
	await clock.advance(100);
	const knownRevision = () => follower.objects.value!.get('a')!.revision;
	store.held = [storedObject('a', 2)];
	await clock.advance(100);
	t.is(knownRevision(), 2);
	store.held = [storedObject('a', 3)];
	follower.hurry();
	await clock.advance(100);
	t.is(knownRevision(), 2);
	await clock.advance(200);
	t.is(knownRevision(), 3);
	store.held = [storedObject('a', 4)];
	await clock.advance(1000);
	t.is(knownRevision(), 3);
	follower.hurry();
	await clock.advance(10);
	t.is(knownRevision(), 4);
	store.held = [storedObject('a', 5)];
	await clock.advance(2100);
	t.is(knownRevision(), 5);
	follower.stop();
});

test('kinds that do not change cost the store at most a full call in eight seconds each', async (t) => {
	const kinds = 4;
	const {clock, store, followers} = followersOfFakeStore(kinds);
	for (const follower of followers) {
		follower.start();
	}

	await clock.advance(1000);
	const before = store.calls.length;
	const forMs = 240_000;
	await clock.advance(forMs);
	const calls = store.calls.slice(before);
	const checks = calls.filter((call) => call === 'check').length;
	const priced = calls.length - 0.9 * checks;
	t.true(priced <= (kinds * forMs) / 8000, `${priced}`);
	for (const follower of followers) {
		follower.stop();
	}
});

// A check of each poll alone, every few seconds, left dead polls unnoticed for up to 5.5 s.
test('the polls of a daemon are never without a check or an answer for so long that silent connections outlast the time for outdated state', async (t) => {
	const {clock, store, followers} = followersOfFakeStore(4);
	for (const follower of followers) {
		follower.start();
	}

	await clock.advance(1000);
	const checkTimeoutMs = 1000;
	const slackMs = 400;
	for (let window = 0; window < 100; window++) {
		const before = store.calls.length;
		await clock.advance(outdatedMs - checkTimeoutMs - slackMs);
		// A poll that begins anew has just been answered.
		t.true(store.calls.length > before);
	}

	for (const follower of followers) {
		follower.stop();
	}
});

test('a poll whose connection is closed is opened again at once', async (t) => {
	const {clock, store, follower} = followerOfFakeStore();
	store.endsOnChange = true;
	follower.start();
	await clock.advance(1000);
	store.held = [storedObject('a', 2)];
	store.cutsNextWatch = true;
	await clock.advance(50);
	t.is(follower.objects.value!.get('a')!.revision, 2);
	follower.stop();
});

test('a change whose answer is lost arrives within six seconds, and no check replaces newer objects', async (t) => {
	const {clock, store, follower} = followerOfFakeStore();
	store.endsOnChange = true;
	follower.start();
	await clock.advance(1000);
	for (let revision = 2; revision < 12; revision++) {
		store.losesWatches = true;
		await clock.advance(700);
		store.held = [storedObject('a', revision)];
		await clock.advance(300);
		// A watch under way stays lost; the next one is answered.
		store.losesWatches = false;
		await clock.advance(5700);
		t.is(follower.objects.value!.get('a')!.revision, revision);
	}

	follower.stop();
});

// Daemons that are not standbys read the keeper's lease up to 8 s after a restore, and took it too late.
test('a kind followed slowly is listed at once when the store has entered a later era', async (t) => {
	const {clock, store, follower} = followerOfFakeStore();
	follower.slow = true;
	follower.start();
	await clock.advance(100);
	store.calls.length = 0;
	store.eraNumber = 2;
	store.held = [storedObject('b', revisionIn(2, 1)!)];
	await clock.advance(600);
	t.deepEqual([...follower.objects.value!.keys()], ['b']);
	t.deepEqual(store.calls, ['stale list']);
	follower.stop();
});

test('an outdated list does not replace newer objects', async (t) => {
	const {clock, store, follower} = followerOfFakeStore();
	store.held = [storedObject('a', 5)];
	follower.slow = true;
	follower.start();
	await clock.advance(100);
	store.held = [storedObject('a', 3)];
	await clock.advance(10_000);
	t.is(follower.objects.value!.get('a')!.revision, 5);
	follower.stop();
});

test('a follower reports when a call last failed', async (t) => {
	const {clock, store, follower} = followerOfFakeStore();
	follower.start();
	await clock.advance(1000);
	t.is(follower.lastFailureAt, -Infinity);
	store.failing = true;
	await clock.advance(8000);
	t.true(follower.lastFailureAt > 4000);
	follower.stop();
});

test('changes arrive within a few seconds after a silent store answers again', async (t) => {
	const {clock, store, follower} = followerOfFakeStore();
	follower.start();
	await clock.advance(1000);
	store.silent = true;
	await clock.advance(14_000);
	store.silent = false;
	store.held = [storedObject('a', 2)];
	await clock.advance(2500);
	t.is(follower.objects.value!.get('a')!.revision, 2);
	follower.stop();
});

test('an unreadable change leads to a new list, and the known objects stay until then', async (t) => {
	const {clock, store, follower, lines} = followerOfFakeStore();
	follower.start();
	await clock.advance(1000);
	store.watchesUnreadable = true;
	store.failing = true;
	await clock.advance(20_000);
	t.deepEqual([...follower.objects.value!.keys()], ['a']);
	store.failing = false;
	store.held = [storedObject('a', 1), storedObject('b', 2)];
	await clock.advance(2000);
	t.deepEqual([...follower.objects.value!.keys()], ['a', 'b']);
	t.is(lines.filter((line) => line.includes('event=store-lost')).length, 1);
	follower.stop();
});

test('an object that cannot be read is logged once', async (t) => {
	const {clock, store, follower, lines} = followerOfFakeStore();
	store.unreadable = ['odd'];
	follower.slow = true;
	follower.start();
	await clock.advance(30_000);
	const warnings = lines.filter((line) => line.includes('objects-unreadable'));
	t.is(warnings.length, 1);
	t.regex(warnings[0], /count=1 names=odd/);
	follower.stop();
});

test('a subscriber that throws does not stop the follower', async (t) => {
	const {clock, store, follower, lines} = followerOfFakeStore();
	store.endsOnChange = true;
	const unsubscribe = follower.objects.subscribe(() => {
		throw new Error('not meant for this');
	});
	follower.start();
	await clock.advance(10_000);
	unsubscribe();
	store.held = [storedObject('a', 1), storedObject('b', 2)];
	await clock.advance(10_000);
	t.deepEqual([...follower.objects.value!.keys()], ['a', 'b']);
	const lost = lines.filter((line) => line.includes('event=store-lost'));
	t.is(lost.length, 1);
	t.regex(lost[0], /not meant for this/);
	follower.stop();
});

test('a change is not taken for recent because the answer to a poll was long on its way', async (t) => {
	const {clock, store, follower} = followerOfFakeStore();
	store.endsOnChange = true;
	follower.start();
	await clock.advance(5000);
	store.wayMs = 3000;
	const changedAt = clock.now();
	store.held = [storedObject('a', 2)];
	await clock.advance(4000);
	t.is(follower.objects.value!.get('a')!.revision, 2);
	const {changedSince} = follower.reading;
	t.true(changedSince <= changedAt, `${changedSince - changedAt} ms late`);
	t.true(changedSince >= changedAt - outdatedMs / 2, 'a check was before');
	follower.stop();
});

test('a store that forgets its history again and again is listed a few times a second at the most', async (t) => {
	const {clock, store, follower} = followerOfFakeStore();
	follower.start();
	await clock.advance(5000);
	store.forgets = true;
	store.endsOnChange = true;
	await clock.advance(16_000);
	store.calls.length = 0;
	await clock.advance(10_000);
	const lists = store.calls.filter((call) => call === 'list').length;
	t.true(lists <= 40, `${lists} lists`);
	t.true(lists >= 10, `${lists} lists`);
	store.forgets = false;
	store.held = [storedObject('a', 3)];
	await clock.advance(2000);
	t.is(follower.objects.value!.get('a')!.revision, 3);
	follower.stop();
});
