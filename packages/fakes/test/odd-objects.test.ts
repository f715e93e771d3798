/** Objects of the older object API that do not match the schema of their kind, next to valid ones. */
import test, {type ExecutionContext} from 'ava';
import {
	HttpPlatform,
	SystemClock,
	type WatchEvent,
} from '@kingcuproute/platform';
import {FakePlatform} from '../src/platform/fake-platform.js';
import {until} from './requests-fixture.js';

async function startPlatform(t: ExecutionContext) {
	const fake = new FakePlatform();
	const origin = `http://127.0.0.1:${await fake.listen()}`;
	const platform = new HttpPlatform({origin}, new SystemClock());
	t.teardown(async () => {
		await platform.close();
		await fake.close();
	});
	const create = (name: string, value?: unknown) =>
		fake.store.create('failure-domain', name, value ?? {failureDomain: name});
	return {platform, create};
}

test('an unreadable object hides none of the others in a list', async (t) => {
	const {platform, create} = await startPlatform(t);
	create('fd-a');
	create('fd-b', 7);
	create('fd-c');
	const listed = await platform.list();
	const {objects, unreadable} = listed.unsafeCoerce();
	t.deepEqual(
		objects.map(({name}) => name),
		['fd-a', 'fd-c'],
	);
	t.deepEqual(
		unreadable.map(({name}) => name),
		['fd-b'],
	);
});

test('an unreadable object hides no later one on a watch', async (t) => {
	const {platform, create} = await startPlatform(t);
	const events: WatchEvent[] = [];
	const stop = platform.watch(0, (event) => events.push(event));
	create('fd-a', {domain: 'fd-a'});
	create('fd-b');
	await until(async () => events.some(({kind}) => kind === 'changed'));
	stop();
	t.deepEqual(
		events.map(({kind}) => kind),
		['opened', 'unreadable', 'changed'],
	);
});
