import test from 'ava';
import fc from 'fast-check';
import {parseRoutingConfig} from '../src/index.js';
import {routingDocument} from './routing-fixture.js';

const columns = ['name', 'apiKeys', 'ratePerS', 'burst', 'priority'];

function readingOf(tenants: unknown) {
	return parseRoutingConfig({...routingDocument, tenants}).unsafeCoerce();
}

function customersOf(...rows: readonly unknown[]) {
	const {config, faults} = readingOf({columns, rows});
	return {
		customers: config.customers!,
		paths: faults.map(({path}) => path),
		text: JSON.stringify(faults),
	};
}

test('customers are read with their keys and quotas, and a rate of 0 or none is no quota', (t) => {
	const {customers, paths} = customersOf(
		['dune', ['k-1', 'k-2'], 12.5, 30, 1],
		['free', ['k-3'], 0, 5, null],
		['plain', null, null, null, null],
	);
	t.deepEqual(customers, [
		{name: 'dune', keys: ['k-1', 'k-2'], rate: 12.5, burst: 30, priority: 1},
		{
			name: 'free',
			keys: ['k-3'],
			rate: Infinity,
			burst: 5,
			priority: undefined,
		},
		{name: 'plain', keys: [], rate: Infinity, burst: 0, priority: undefined},
	]);
	t.deepEqual(paths, []);
});

test('without a list of customers nobody needs a key, and a list that cannot be read admits nobody', (t) => {
	t.is(readingOf(undefined).config.customers, undefined);
	t.is(readingOf(null).config.customers, undefined);
	for (const tenants of ['k-secret', [], {columns, rows: 'k-secret'}]) {
		const {config, faults} = readingOf(tenants);
		t.deepEqual(config.customers, []);
		t.is(faults[0].path, 'tenants');
	}
});

test('a key that two customers have is nobody’s, and a customer named twice keeps its first row', (t) => {
	const {customers, paths} = customersOf(
		['a', ['shared', 'a-1', 'a-1'], 5, 5, 0],
		['b', ['shared', 'b-1'], 5, 5, 0],
		['a', ['a-2'], 500, 5, 0],
	);
	t.deepEqual(
		customers.map(({keys}) => keys),
		[['a-1', 'a-1'], ['b-1']],
	);
	t.deepEqual(paths, [
		'tenants.2.name',
		'tenants.0.apiKeys',
		'tenants.1.apiKeys',
	]);
});

test('a rate, burst or priority that cannot be read is the least, and a huge one is none', (t) => {
	for (const odd of [-1, 'many', {}, Infinity]) {
		const {customers, paths} = customersOf(['a', [], odd, odd, odd]);
		t.like(customers[0], {rate: 1, burst: 0});
		t.is(customers[0].priority, Number.MAX_SAFE_INTEGER);
		t.is(paths.length, 3);
	}

	t.is(customersOf(['a', [], 1e300, 1e300, 0]).customers[0].rate, Infinity);
});

test('names that a header field cannot carry are left out, unusual ones are not', (t) => {
	const good = ['a b', 'Zoë', '北', 'x'.repeat(200), '__proto__'];
	const bad = ['', ' a', 'a\n', 'a\r\nb', '\uD800', 7, null, ['k-secret']];
	const {customers, paths} = customersOf(...[...good, ...bad].map((n) => [n]));
	t.deepEqual(
		customers.map(({name}) => name),
		good,
	);
	t.is(paths.length, bad.length);
});

test('no fault shows an API key, wherever in the document it stands', (t) => {
	const secret = 'k-secret';
	const places = [
		secret,
		{columns: [[secret]], rows: []},
		{columns, rows: [secret]},
		{columns, rows: [['a', secret]]},
		{columns, rows: [['a', [{key: secret}, `${secret} `, [secret]]]]},
		{columns, rows: [[[secret], secret, secret, secret, secret]]},
		{
			columns,
			rows: [
				['a', [secret]],
				['b', [secret]],
			],
		},
	];
	for (const tenants of places) {
		const {faults} = readingOf(tenants);
		t.true(faults.length > 0);
		t.false(JSON.stringify(faults).includes(secret));
	}

	for (const document of [secret, [secret]]) {
		const faults = parseRoutingConfig(document).swap().unsafeCoerce();
		t.false(JSON.stringify(faults).includes(secret));
	}
});

test('whatever one row of customers is replaced by, the others are read as before', (t) => {
	const other = ['other', ['k-other'], 10, 20, 1];
	fc.assert(
		fc.property(fc.array(fc.anything(), {maxLength: 6}), (row) => {
			const {config} = readingOf({columns, rows: [other, row]});
			const [first] = config.customers!;
			t.like(first, {name: 'other', rate: 10, burst: 20, priority: 1});
			t.true(config.rules.length === 2);
		}),
	);
});
