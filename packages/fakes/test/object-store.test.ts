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

function kindOf(error: unknown): string | undefined {
	return (error as {kind?: string} | undefined)?.kind;
}
