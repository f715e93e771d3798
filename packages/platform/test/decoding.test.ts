import test from 'ava';
import fc from 'fast-check';
import {
	keyTrafficSpec,
	parseDeployment,
	parseKeyTraffic,
	parseListedServer,
	parseLoad,
	parseRangeTable,
	parseRoutingConfig,
	readAnswerMetadata,
	type StoredObject,
} from '../src/index.js';
import {routingDocument} from './routing-fixture.js';

const settings = [
	'self.node=front-a-1',
	'self.zone=a',
	'self.region=r',
	'self.limits.memoryMb=350',
	'network.listen.front=10.1.0.15:8641',
	'network.listen.ready=10.1.0.15:8640',
	'platform.heartbeatMs=870',
	'platform.platform.addr=10.200.1.7:8642',
	'platform.platform.writesPerS=400',
	'platform.platform.readsPerS=2000',
	'terms.bounds.graceS=6',
	'terms.bounds.holdMaxMs=10000',
	'terms.bounds.retryBudgetRatio=0.2',
	'terms.bounds.retryBudgetSlack=62',
	'terms.bounds.budgetWindowS=10',
];

const entry = {
	name: 'i-1',
	revision: 4,
	spec: {
		addr: '10.128.0.9:8080',
		born: 1_700_000_000_000,
		info: {service: 's', version: 'v1', zone: 'a', slots: 3},
	},
	status: {state: 'draining', seq: 4, coldLeftMs: 700},
	rest: {},
};

const rangeTable = {
	service: 's',
	nextFence: 3,
	ranges: [[0, 65_535, 'i-1', 12, 2]],
};

test('settings are parsed with their units, and unknown fields are ignored', (t) => {
	const text = [...settings, 'self.novelty=1', ''].join('\n');
	const deployment = parseDeployment(text).unsafeCoerce();
	t.is(deployment.vm, 'front-a-1');
	t.deepEqual(deployment.listen.entry, {host: '10.1.0.15', port: 8641});
	t.is(deployment.bounds.stopMs, 6000);
	t.is(deployment.bounds.retryWindowMs, 10_000);
	t.is(deployment.memoryLen, 350 * 1_048_576);
});

test('bounds of quotas and revocations may be missing, and a revocation binds in time only where it is strict', (t) => {
	const boundsOf = (...added: readonly string[]) =>
		parseDeployment([...settings, ...added].join('\n')).map(
			({bounds}) => bounds,
		);
	t.like(boundsOf().unsafeCoerce(), {
		quotaWindowMs: 5000,
		quotaExcess: 0.1,
		quotaSlack: 20,
		revokeMs: Infinity,
	});
	const prefix = 'terms.bounds.';
	const given = ['quotaWindowS=2', 'quotaExcess=0', 'quotaSlack=1'];
	t.like(boundsOf(...given.map((line) => prefix + line)).unsafeCoerce(), {
		quotaWindowMs: 2000,
		quotaExcess: 0,
		quotaSlack: 1,
	});
	const revoke = (strict: string) =>
		boundsOf(`${prefix}strictRevoke=${strict}`, `${prefix}revokeMs=900`);
	t.is(revoke('true').unsafeCoerce().revokeMs, 900);
	t.is(revoke('0').unsafeCoerce().revokeMs, Infinity);
	t.true(boundsOf(`${prefix}quotaWindowS=0`).isLeft());
	t.true(revoke('maybe').isLeft());
});

test('each missing or invalid setting is reported with its path', (t) => {
	for (const [index, line] of settings.entries()) {
		const path = line.slice(0, line.indexOf('='));
		const missing = parseDeployment(settings.toSpliced(index, 1).join('\n'));
		missing.ifLeft((faults) => {
			t.deepEqual(
				faults.map((fault) => fault.path),
				[path],
			);
		});
		t.true(missing.isLeft(), `${path} may be missing`);
	}

	const invalid = parseDeployment(
		settings.with(3, 'self.limits.memoryMb=plenty').join('\n'),
	);
	invalid.ifLeft(([fault]) => {
		t.is(fault.path, 'self.limits.memoryMb');
		t.regex(fault.message, /number.*plenty/);
	});
	t.true(invalid.isLeft());
	t.true(parseDeployment(`${settings.join('\n')}\nnonsense`).isLeft());
});

test('a configuration is parsed into routes and services', (t) => {
	const {config, faults} = parseRoutingConfig(routingDocument).unsafeCoerce();
	t.deepEqual(faults, []);
	t.is(config.version, 7);
	const [split, plain] = config.rules;
	t.is(split.host, 'shop.example');
	t.is(split.repeatability, 'safe');
	t.deepEqual(
		split.parts.map(({weight}) => weight),
		[90, 10],
	);
	t.is(plain.repeatability, 'unsafe');
	t.deepEqual(plain.parts, [{service: 's', weight: 1}]);
	t.deepEqual(
		config.services.map(({service, keyed, coldMs}) => [service, keyed, coldMs]),
		[
			['s', true, 3000],
			['t', false, 3000],
		],
	);
});

test('a backend server is parsed with its start time and its state', (t) => {
	t.deepEqual(parseListedServer(entry).unsafeCoerce(), {
		backendServer: 'i-1',
		startedAt: 1_700_000_000_000,
		service: 's',
		address: '10.128.0.9:8080',
		failureDomain: 'a',
		slots: 3,
		draining: true,
		coldMs: 700,
	});
});

test('a server is accepted only with an address that can be connected to', (t) => {
	const listed = (addr: string) =>
		parseListedServer({...entry, spec: {...entry.spec, addr}});
	for (const valid of [
		'10.128.0.9:1',
		'h:65535',
		'b-1.a_z.example:80',
		'[fd00::1]:8080',
	]) {
		t.is(listed(valid).unsafeCoerce().address, valid);
	}

	for (const invalid of [
		'10.128.0.9',
		'10.128.0.9:0',
		'10.128.0.9:65536',
		'10.128.0.9:99999',
		'999.1.1.1:80',
		'user@10.128.0.9:80',
		'user:pass@10.128.0.9:80',
		'10.128.0.9/x:80',
		'10.128.0.9?x:80',
		'10.128.0.9 :80',
		'10.128.0.9:80\n',
		'%zz:80',
		'fd00::1:80',
		'[fd00:::1]:80',
		'http://10.128.0.9:80',
		`${'h'.repeat(300)}:80`,
		':80',
	]) {
		t.true(listed(invalid).isLeft(), `${invalid.slice(0, 40)}`);
	}

	const text = settings.with(5, 'network.listen.ready=10.1.0.15:65536');
	t.true(parseDeployment(text.join('\n')).isLeft());
});

test('every accepted address is exactly the host and port of a URL', (t) => {
	const addr = fc.oneof(
		fc.string({maxLength: 20}),
		fc
			.tuple(fc.string({maxLength: 12}), fc.nat(99_999))
			.map(([host, port]) => `${host}:${port}`),
		fc
			.tuple(fc.ipV4(), fc.nat(99_999))
			.map(([host, port]) => `${host}:${port}`),
		fc
			.tuple(fc.ipV6(), fc.nat(99_999))
			.map(([host, port]) => `[${host}]:${port}`),
	);
	fc.assert(
		fc.property(addr, (candidate) => {
			const spec = {...entry.spec, addr: candidate};
			parseListedServer({...entry, spec}).ifRight(({address}) => {
				const {username, pathname, search, port} = new URL(`http://${address}`);
				t.deepEqual([username, pathname, search], ['', '/', '']);
				t.is(
					Number(port === '' ? 80 : port),
					Number(address.split(':').at(-1)),
				);
			});
			t.pass();
		}),
		{numRuns: 2000},
	);
});

test('a server with an id that a header field cannot hold, or an impossible number of slots, is rejected', (t) => {
	for (const name of ['', 'i 1', 'i\r\n1', 'i-ü', 'i'.repeat(256)]) {
		t.true(parseListedServer({...entry, name}).isLeft(), `${name.slice(0, 9)}`);
	}

	for (const slots of [1e15, 0, 2.5, Infinity]) {
		const info = {...entry.spec.info, slots};
		const spec = {...entry.spec, info};
		t.true(parseListedServer({...entry, spec}).isLeft(), `${slots} slots`);
	}
});

test('the metadata of an answer shows whether the request ran, its id and the load of the server', (t) => {
	t.deepEqual(
		readAnswerMetadata(503, {
			'x-kingcuproute-request-id': 'q',
			'x-kingcuproute-not-executed': '1',
			'x-kingcuproute-server-load': '3,1,3,250',
		}),
		{
			requestId: 'q',
			notRun: true,
			misdirected: false,
			encoded: false,
			load: {running: 3, waiting: 1, slots: 3, slowness: 2.5},
			leaving: false,
			holdMs: undefined,
			malformed: [],
		},
	);
	t.true(readAnswerMetadata(421, {}).notRun);
	t.true(readAnswerMetadata(421, {}).misdirected);
	t.false(readAnswerMetadata(503, {}).notRun);
	t.true(readAnswerMetadata(200, {'content-encoding': 'gzip'}).encoded);
	for (const text of ['', 'a,b,c', '1,2', '1,-2,3', '1,2,0']) {
		t.is(parseLoad(text), undefined);
	}
});

test('an answer shows that its server leaves, and for how long it wants no requests; malformed fields are ignored and named', (t) => {
	const metadata = (status: number, headers: Record<string, string>) =>
		readAnswerMetadata(status, headers);
	t.true(metadata(200, {'server-leaving': '1'}).leaving);
	t.is(metadata(503, {'retry-after': '5'}).holdMs, 5000);
	t.is(metadata(503, {'retry-after': '0.25'}).holdMs, 250);
	t.is(metadata(200, {'retry-after': '5'}).holdMs, undefined);
	for (const value of [
		'',
		'-1',
		'1e9',
		'Infinity',
		'NaN',
		'0x10',
		'9'.repeat(400),
		'Sat, 05 Dec 2026 15:00:00 GMT',
	]) {
		const {holdMs, malformed} = metadata(503, {'retry-after': value});
		t.is(holdMs, undefined, `value ${value}`);
		t.deepEqual(malformed, ['retry-after'], `value ${value}`);
	}

	for (const value of ['', 'yes', '1, 1', '-1']) {
		const {leaving, malformed} = metadata(200, {'server-leaving': value});
		t.false(leaving, `value ${value}`);
		t.deepEqual(malformed, ['server-leaving'], `value ${value}`);
	}

	const doubled = readAnswerMetadata(503, {'retry-after': ['1', '2']});
	t.deepEqual(doubled.malformed, ['retry-after']);
	t.deepEqual(metadata(200, {}).malformed, []);
});

/** A copy of the value in which the part at `path` is replaced by `by`. */
function corrupted(
	value: unknown,
	path: readonly number[],
	by: unknown,
): unknown {
	const [step, ...rest] = path;
	if (step === undefined || typeof value !== 'object' || value === null) {
		return by;
	}

	const keys = Object.keys(value);
	if (keys.length === 0) {
		return by;
	}

	const key = keys[step % keys.length];
	const inner = (value as Record<string, unknown>)[key];
	if (Array.isArray(value)) {
		return value.with(Number(key), corrupted(inner, rest, by));
	}

	return {...value, [key]: corrupted(inner, rest, by)};
}

test('a range table holds every key once and in order, or none', (t) => {
	const parsed = (ranges: unknown, nextFence = 3) =>
		parseRangeTable({service: 's', nextFence, ranges});
	const halves = [
		[0, 9, 'i-1', 12, 1],
		[10, 65_535, 'i-2', 12, 2],
	];
	t.true(parsed(halves).isRight());
	t.true(parsed([]).isRight());
	for (const invalid of [
		halves.toReversed(),
		halves.slice(1),
		halves.slice(0, 1),
		[...halves, ...halves],
		[[10, 9, 'i-1', 12, 1], ...halves],
		Array.from({length: 200_000}, () => halves[0]),
	]) {
		t.true(parsed(invalid).isLeft());
	}

	t.true(parsed(halves, Number.MAX_SAFE_INTEGER).isLeft());
});

test('corrupted messages give faults or values and never throw', (t) => {
	const path = fc.array(fc.nat(20), {minLength: 1, maxLength: 5});
	const by = fc.oneof(
		fc.constant(undefined),
		fc.constant(null),
		fc.anything(),
		fc.string(),
		fc.double(),
	);
	fc.assert(
		fc.property(path, by, (steps, replacement) => {
			for (const parse of [
				() =>
					parseRoutingConfig(corrupted(routingDocument, steps, replacement)),
				() =>
					parseListedServer(
						corrupted(entry, steps, replacement) as StoredObject,
					),
				() => parseRangeTable(corrupted(rangeTable, steps, replacement)),
			]) {
				const parsed = parse();
				parsed.ifLeft((faults) => {
					t.true(faults.length > 0);
				});
			}

			t.pass();
		}),
	);
	fc.assert(
		fc.property(fc.string(), fc.nat(settings.length), (line, at) => {
			parseDeployment(settings.toSpliced(at, 1, line).join('\n'));
			parseLoad(line);
			t.pass();
		}),
	);
});

test('key traffic is parsed as it was written, and invalid documents are rejected', (t) => {
	const rates = new Map([
		[7, 0.33],
		[65_535, 12],
	]);
	const runMs = new Map([['i-1', 220.5]]);
	const readings = new Map([['i-1', 3]]);
	const services = new Map([
		['s', {rates, runMs, readings}],
		['older', {rates, runMs}],
	]);
	const spec: unknown = structuredClone(keyTrafficSpec(services));
	t.deepEqual(parseKeyTraffic(spec).extract(), services);
	for (const invalid of [
		undefined,
		{},
		{services: [{service: 's', rates: [[65_536, 1]], runs: []}]},
		{services: [{service: 's', rates: [[1, -1]], runs: []}]},
		{services: [{service: 's', rates: [[1, 1e308]], runs: []}]},
		{services: [{service: 's', rates: [], runs: [['i-1', 1e308]]}]},
	]) {
		t.true(parseKeyTraffic(invalid).isLeft(), `${JSON.stringify(invalid)}`);
	}
});
