import test, {type ExecutionContext} from 'ava';
import {HttpObjectStore, SystemClock} from '@kingcuproute/platform';
import {StandInStore} from '../src/platform/stand-in-store.js';

async function standing(t: ExecutionContext) {
	const standIn = new StandInStore();
	const store = new HttpObjectStore(await standIn.start(), new SystemClock());
	t.teardown(async () => {
		await store.close();
		standIn.stop();
	});
	return {standIn, store};
}

test('a list comes whole over several pages, and a watch follows on from it', async (t) => {
	const {standIn, store} = await standing(t);
	for (const name of ['a', 'b', 'c', 'd', 'e']) {
		standIn.put('fruit', name, {name});
	}

	const listed = await store.list('fruit');
	const listing = listed.unsafeCoerce();
	t.deepEqual(
		listing.objects.map(({name}) => name),
		['a', 'b', 'c', 'd', 'e'],
	);
	const news = store.watch('fruit', listing.revision, 10_000);
	standIn.remove('fruit', 'b');
	const heard = await news;
	const {changes, revision} = heard.unsafeCoerce();
	t.deepEqual(
		changes.map(({object, removed}) => [object.name, removed]),
		[['b', true]],
	);
	t.true(revision > listing.revision);
});

test('a write happens only at the revision that it names', async (t) => {
	const {store} = await standing(t);
	const write = {kind: 'k', name: 'n', revision: undefined, spec: 1};
	const first = await store.write(write);
	const made = first.unsafeCoerce();
	const again = await store.write({...write, spec: 2});
	t.true(again.isLeft());
	again.ifLeft((error) => {
		t.is(error.kind, 'conflict');
		t.is(error.kind === 'conflict' ? error.held?.revision : 0, made.revision);
	});
	const changed = await store.write({
		...write,
		revision: made.revision,
		spec: 3,
	});
	t.is(changed.unsafeCoerce().spec, 3);
	const late = await store.write({...write, revision: made.revision, spec: 4});
	t.true(late.isLeft());
});

test('what the store says of a failed call is told apart', async (t) => {
	const {standIn, store} = await standing(t);
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
	const cut = await store.write({
		kind: 'k',
		name: 'n',
		revision: 1,
		spec: 1,
	});
	t.is(kindOf(cut.extract()), 'unknown');
});

/** Items that are no objects; the last can be named, though not read. */
const oddItems = [
	'7',
	'null',
	'[]',
	'{}',
	'{"metadata":{"rev":1}}',
	'{"metadata":{"name":"m","rev":"r1"}}',
	'{"metadata":{"name":"m","rev":-1}}',
	'{"metadata":{"name":"m","rev":1e400}}',
];

test('an item that cannot be read hides none of the others, wherever it stands', async (t) => {
	const {standIn, store} = await standing(t);
	for (const pageLen of [2, 3]) {
		standIn.pageLen = pageLen;
		for (const [index, item] of oddItems.entries()) {
			const kind = `fruit-${pageLen}-${index}`;
			for (const name of ['a', 'b', 'o', 'x', 'y']) {
				standIn.put(kind, name, {});
			}

			for (const odd of ['m', 'z']) {
				standIn.putText(kind, odd, () => item);
			}

			const listed = await store.list(kind);
			const {objects, unreadable} = listed.unsafeCoerce();
			const names = new Set(objects.map(({name}) => name));
			t.deepEqual([...names], ['a', 'b', 'o', 'x', 'y'], `beside ${item}`);
			t.deepEqual(unreadable, [item.includes('"m"') ? 'm' : '?']);
		}
	}
});

test('a list that gives no way on or goes round is not taken for whole', async (t) => {
	const {standIn, store} = await standing(t);
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

test('an event that cannot be read hides none of the others, and takes what it names out', async (t) => {
	const {standIn, store} = await standing(t);
	standIn.put('fruit', 'a', {});
	const listed = await store.list('fruit');
	const {revision} = listed.unsafeCoerce();
	for (const [index, item] of oddItems.entries()) {
		standIn.putText('fruit', `o${index}`, () => item);
		standIn.put('fruit', `s${index}`, {});
	}

	const heard = await store.watch('fruit', revision, 1000);
	const {changes, unreadable} = heard.unsafeCoerce();
	t.deepEqual(
		changes.filter(({removed}) => !removed).map(({object}) => object.name),
		oddItems.map((_item, index) => `s${index}`),
	);
	t.deepEqual(
		changes.filter(({removed}) => removed).map(({object}) => object.name),
		['m', 'm', 'm'],
	);
	t.is(unreadable?.length, oddItems.length);
});

function kindOf(error: unknown): string | undefined {
	return (error as {kind?: string} | undefined)?.kind;
}
