import test from 'ava';
import fc from 'fast-check';
import {parseRoutingConfig} from '../src/index.js';
import {routingDocument} from './routing-fixture.js';

const {routes, services} = routingDocument;

/** The document with one value of one row of its routes replaced. */
function withRouteValue(row: number, column: string, value: unknown) {
	const at = routes.columns.indexOf(column);
	const changed: unknown[] = routes.rows[row].with(at, value as string);
	const rows = [...routes.rows.slice(0, row), changed];
	return {
		...routingDocument,
		routes: {...routes, rows: [...rows, ...routes.rows.slice(row + 1)]},
	};
}

function withServiceValue(row: number, column: string, value: unknown) {
	const at = services.columns.indexOf(column);
	const changed: unknown[] = services.rows[row].with(at, value as string);
	const rows = [...services.rows.slice(0, row), changed];
	return {
		...routingDocument,
		services: {...services, rows: [...rows, ...services.rows.slice(row + 1)]},
	};
}

function readingOf(document: unknown) {
	return parseRoutingConfig(document).unsafeCoerce();
}

test('downloads may be retried, and a route of an unknown kind may not', (t) => {
	for (const [kind, repeatability, faultCount] of [
		['download', 'safe', 0],
		['safe', 'safe', 0],
		['upload', 'unsafe', 0],
		['novel', 'unsafe', 1],
		[7, 'unsafe', 1],
		[null, 'unsafe', 1],
	] as const) {
		const {config, faults} = readingOf(withRouteValue(0, 'routeKind', kind));
		t.is(config.rules[0].repeatability, repeatability, `kind ${kind}`);
		t.is(faults.length, faultCount, `kind ${kind}`);
		t.is(config.rules.length, 2);
	}
});

test('a route whose service cannot be read is kept without one, and named as a fault', (t) => {
	for (const value of [null, 7, {}]) {
		const {config, faults} = readingOf(withRouteValue(1, 'service', value));
		t.deepEqual(config.rules[1].parts, []);
		t.deepEqual(
			faults.map(({path}) => path),
			['routes.1.service'],
		);
		t.is(config.rules[0].parts.length, 2);
	}

	const split = [{service: 's', weight: 'x'}];
	const {config, faults} = readingOf(withRouteValue(0, 'trafficSplit', split));
	t.deepEqual(config.rules[0].parts, []);
	t.is(faults[0].path, 'routes.0.trafficSplit.0');
});

test('an unreadable limit of a service is read as the most cautious one', (t) => {
	const serviceAfter = (column: string, value: unknown) =>
		readingOf(withServiceValue(0, column, value)).config.services[0];
	t.is(serviceAfter('coldPerS', 'many').coldRate, 1);
	t.is(serviceAfter('coldPerS', null).coldRate, Infinity);
	t.is(serviceAfter('maxConns', -1).connections, 1);
	t.is(
		readingOf(withRouteValue(0, 'maxAttempts', 0)).config.rules[0].maxAttempts,
		1,
	);
});

test('a service without a usable name is left out, and the others stay', (t) => {
	for (const name of ['\uD800', 7, null]) {
		const {config, faults} = readingOf(withServiceValue(0, 'name', name));
		t.deepEqual(
			config.services.map(({service}) => service),
			['t'],
		);
		t.deepEqual(
			faults.map(({path}) => path),
			['services.0.name'],
		);
	}
});

test('a document without a usable version, or without its lists, is rejected as a whole', (t) => {
	const long = `r${'9'.repeat(400)}`;
	for (const version of [long, 'r9007199254740993', 7, undefined]) {
		t.true(parseRoutingConfig({...routingDocument, version}).isLeft());
	}

	for (const list of ['routes', 'services']) {
		t.true(parseRoutingConfig({...routingDocument, [list]: null}).isLeft());
	}
});

test('whatever one value of a row is replaced by, every other row is read as before', (t) => {
	const whole = readingOf(routingDocument).config;
	const value = fc.oneof(fc.anything(), fc.string(), fc.double(), fc.integer());
	fc.assert(
		fc.property(fc.nat(1), fc.nat(9), value, (row, column, replacement) => {
			const name = routes.columns[column];
			const {config} = readingOf(withRouteValue(row, name, replacement));
			const others = (rules: typeof config.rules) =>
				rules.filter(({pathPrefix}) => pathPrefix === ['/b/', '/a/'][row]);
			t.deepEqual(others(config.rules), others(whole.rules));
			t.deepEqual(config.services, whole.services);
			t.deepEqual(config.limits, whole.limits);
		}),
	);
	fc.assert(
		fc.property(fc.nat(1), fc.nat(9), value, (row, column, replacement) => {
			const name = services.columns[column];
			const {config} = readingOf(withServiceValue(row, name, replacement));
			const others = (list: typeof config.services) =>
				list.filter(({service}) => service === ['t', 's'][row]);
			t.deepEqual(others(config.services), others(whole.services));
			t.deepEqual(config.rules, whole.rules);
		}),
	);
	fc.assert(
		fc.property(value, (replacement) => {
			const {config} = readingOf({...routingDocument, limits: replacement});
			t.deepEqual(config.rules, whole.rules);
			t.true(config.limits.bodyLen > 0);
		}),
	);
});
