import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {revisionIn} from '@kingcuproute/core';
import {HttpObjectStore, SystemClock} from '@kingcuproute/platform';
import {Left, Right} from 'purify-ts';
import {StandInStore} from '../src/platform/stand-in-store.js';

async function startStore(t: ExecutionContext) {
	const standIn = new StandInStore();
	const store = new HttpObjectStore(await standIn.start(), new SystemClock());
	t.teardown(async () => {
		await store.close();
		standIn.stop();
	});
	return {standIn, store};
}

test('a list over several pages is complete, and a watch continues from its revision', async (t) => {
	const {standIn, store} = await startStore(t);
	for (const name of ['a', 'b', 'c', 'd', 'e']) {
		standIn.put('fruit', name, {name});
	}

	const listed = await store.list('fruit');
	const listing = listed.unsafeCoerce();
	t.deepEqual(
		listing.objects.map(({name}) => name),
		['a', 'b', 'c', 'd', 'e'],
	);
	const watching = store.watch('fruit', listing.revision, 10_000);
	standIn.remove('fruit', 'b');
	const watched = await watching;
	const {changes, revision} = watched.unsafeCoerce();
	t.deepEqual(
		changes.map(({object, removed}) => [object.name, removed]),
		[['b', true]],
	);
	t.true(revision > listing.revision);
});

test('a write succeeds only at the revision that it names', async (t) => {
	const {store} = await startStore(t);
	const write = {kind: 'k', name: 'n', revision: undefined, spec: 1};
	const created = await store.write(write);
	const object = created.unsafeCoerce();
	const repeated = await store.write({...write, spec: 2});
	t.true(repeated.isLeft());
	repeated.ifLeft((error) => {
		t.is(error.kind, 'conflict');
		t.is(error.kind === 'conflict' ? error.held?.revision : 0, object.revision);
	});
	const changed = await store.write({
		...write,
		revision: object.revision,
		spec: 3,
	});
	t.is(changed.unsafeCoerce().spec, 3);
	const stale = await store.write({
		...write,
		revision: object.revision,
		spec: 4,
	});
	t.true(stale.isLeft());
});

test('errors of the store are distinguished by kind', async (t) => {
	const {standIn, store} = await startStore(t);
	standIn.put('k', 'n', 1);
	standIn.forgottenTo = 100;
	const expired = await store.watch('k', 1, 10);
	t.is(kindOf(expired.extract()), 'expired');
	const absent = await store.remove('k', 'absent');
	t.is(kindOf(absent.extract()), 'missing');
	for (const [status, kind] of [
		[503, 'refused'],
		[429, 'refused'],
		[500, 'unknown'],
	] as const) {
		standIn.failing = status;
		const listed = await store.list('k');
		t.is(kindOf(listed.extract()), kind);
	}

	standIn.stop();
	const unanswered = await store.write({
		kind: 'k',
		name: 'n',
		revision: 1,
		spec: 1,
	});
	t.is(kindOf(unanswered.extract()), 'unknown');
});

/** Items that are not valid objects; those with a name can still be named in the result. */
const invalidItems = [
	'7',
	'null',
	'[]',
	'{}',
	'{"metadata":{"rev":1}}',
	'{"metadata":{"name":"m","rev":"r1"}}',
	'{"metadata":{"name":"m","rev":-1}}',
	'{"metadata":{"name":"m","rev":1e400}}',
];

test('an unreadable item hides none of the others, at any position in a page', async (t) => {
	const {standIn, store} = await startStore(t);
	for (const pageLen of [2, 3]) {
		standIn.pageLen = pageLen;
		for (const [index, item] of invalidItems.entries()) {
			const kind = `fruit-${pageLen}-${index}`;
			for (const name of ['a', 'b', 'o', 'x', 'y']) {
				standIn.put(kind, name, {});
			}

			for (const name of ['m', 'z']) {
				standIn.putText(kind, name, () => item);
			}

			const listed = await store.list(kind);
			const {objects, unreadable} = listed.unsafeCoerce();
			const names = new Set(objects.map(({name}) => name));
			t.deepEqual([...names], ['a', 'b', 'o', 'x', 'y'], `beside ${item}`);
			t.deepEqual(unreadable, [item.includes('"m"') ? 'm' : '?']);
		}
	}
});

test('a list whose continuation is missing or goes back to an earlier item is an error, not a complete list', async (t) => {
	const {standIn, store} = await startStore(t);
	standIn.pageLen = 1;
	for (const [kind, item] of [
		['nameless', '{}'],
		['round', '{"metadata":{"name":"a","rev":1}}'],
	]) {
		standIn.put(kind, 'a', {});
		standIn.putText(kind, 'm', () => item);
		standIn.put(kind, 'z', {});
		const listed = await store.list(kind);
		t.is(kindOf(listed.extract()), 'unreadable');
	}
});

test('an unreadable event hides none of the others, and the object that it names counts as removed', async (t) => {
	const {standIn, store} = await startStore(t);
	standIn.put('fruit', 'a', {});
	const listed = await store.list('fruit');
	const {revision} = listed.unsafeCoerce();
	for (const [index, item] of invalidItems.entries()) {
		standIn.putText('fruit', `o${index}`, () => item);
		standIn.put('fruit', `s${index}`, {});
	}

	const watched = await store.watch('fruit', revision, 1000);
	const {changes, unreadable} = watched.unsafeCoerce();
	t.deepEqual(
		changes.filter(({removed}) => !removed).map(({object}) => object.name),
		invalidItems.map((_item, index) => `s${index}`),
	);
	t.deepEqual(
		changes.filter(({removed}) => removed).map(({object}) => object.name),
		['m', 'm', 'm'],
	);
	t.is(unreadable?.length, invalidItems.length);
});

function kindOf(error: unknown): string | undefined {
	return (error as {kind?: string} | undefined)?.kind;
}

// The daemon took what a restored store gave out again for what it knew already.
test('a revision of a former era is expired for a watch, and in conflict for a write', async (t) => {
	const {standIn, store} = await startStore(t);
	standIn.era = 1;
	standIn.put('k', 'n', 1);
	const copy = standIn.copy();
	standIn.put('k', 'n', 2);
	const listed = await store.list('k');
	const {revision} = listed.unsafeCoerce();
	standIn.restore(copy);
	standIn.put('k', 'other', 3);
	const relisted = await store.list('k');
	t.true(relisted.unsafeCoerce().revision > revision);
	t.deepEqual(await store.watch('k', revision, 0), Left({kind: 'expired'}));
	const written = await store.write({kind: 'k', name: 'n', revision, spec: 4});
	written.ifLeft((error) => {
		t.is(error.kind, 'conflict');
		t.is(error.kind === 'conflict' ? error.held?.spec : undefined, 2);
	});
	t.true(written.isLeft());
	const gone = await store.write({kind: 'k', name: 'x', revision, spec: 4});
	t.deepEqual(gone, Left({kind: 'missing'}));
});

// The number of the known revision may stand for another object in the restored store.
test('a write that a restored store has carried out by the number of a former revision is a conflict', async (t) => {
	const {standIn, store} = await startStore(t);
	standIn.era = 1;
	const created = await store.write({
		kind: 'k',
		name: 'n',
		revision: undefined,
		spec: 1,
	});
	const {revision} = created.unsafeCoerce();
	standIn.restore(standIn.copy());
	const written = await store.write({kind: 'k', name: 'n', revision, spec: 2});
	written.ifLeft((error) => {
		t.is(error.kind, 'conflict');
		t.is(error.kind === 'conflict' ? error.held?.spec : undefined, 2);
	});
	t.true(written.isLeft());
});

test('an answer of a former era, of none or of an invalid one is an error', async (t) => {
	const {standIn, store} = await startStore(t);
	standIn.put('k', 'n', 1);
	standIn.era = 2;
	const first = await store.list('k');
	t.true(first.isRight());
	for (const era of [1, undefined, 2.5, -3, 1e9]) {
		standIn.era = era;
		const listed = await store.list('k');
		const kind = listed.swap().map((error) => error.kind);
		t.deepEqual(kind, Right('unknown'), `${era}`);
	}

	t.is(store.era.number, 2);
	standIn.era = 2;
	const last = await store.list('k');
	t.true(last.isRight());
});

// A poll that hangs in a restored store would hear of nothing until its wait is over.
test('long polls end once any answer names a later era', async (t) => {
	const {standIn, store} = await startStore(t);
	standIn.era = 1;
	const listed = await store.list('k');
	const watching = store.watch('k', listed.unsafeCoerce().revision, 10_000);
	await sleep(100);
	const sentAt = performance.now();
	standIn.era = 2;
	await store.list('other');
	t.deepEqual(await watching, Left({kind: 'expired'}));
	t.true(performance.now() - sentAt < 5000);
});

// A peer may have told a revision that the store never gave out.
test('a watch from a revision of an era that the store is not in is expired', async (t) => {
	const {standIn, store} = await startStore(t);
	standIn.era = 1;
	standIn.put('k', 'n', 1);
	const revision = revisionIn(3, 1)!;
	t.deepEqual(await store.watch('k', revision, 0), Left({kind: 'expired'}));
	t.is(store.era.number, 1);
});
