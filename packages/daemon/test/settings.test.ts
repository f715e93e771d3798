import {readFileSync} from 'node:fs';
import test from 'ava';
import {z} from 'zod';
import {fold} from '@kingcuproute/core';
import {parseSettings, settingsSchema} from '../src/settings/settings.js';

const listener = {host: '127.0.0.1', port: 0};

function settingsWith(overrides: Readonly<Record<string, unknown>>) {
	return {
		vm: 'vm-1',
		failureDomain: 'fd-a',
		platform: {origin: 'http://127.0.0.1:1'},
		entry: listener,
		mesh: listener,
		operator: listener,
		...overrides,
	};
}

function faultsOf(json: unknown): readonly string[] {
	return fold(
		parseSettings(json),
		(faults) => faults.map(({path, message}) => `${path}: ${message}`),
		() => [],
	);
}

test('settings with all required keys are valid; the others have defaults', (t) => {
	t.deepEqual(faultsOf(settingsWith({})), []);
});

test('the fault for an unknown key has its path, its value and the allowed keys', (t) => {
	const faults = faultsOf(
		settingsWith({colour: 1, taste: 2, entry: {...listener, hots: 'x'}}),
	);
	t.is(faults.length, 3);
	t.true(
		faults.includes('entry.hots: unknown key, allowed: host, port, found "x"'),
	);
	const colour = faults.find((fault) => fault.startsWith('colour: '));
	t.true(colour?.includes('failureDomain'));
	t.true(colour?.endsWith('found 1'));
	t.true(faults.some((fault) => fault.startsWith('taste: ')));
});

test('a missing setting is reported as missing', (t) => {
	const {vm, ...rest} = settingsWith({});
	t.deepEqual(faultsOf(rest), ['vm: missing, expected string']);
});

test('the fault for an invalid value has its path, the value and what is allowed', (t) => {
	const [port] = faultsOf(settingsWith({mesh: {port: 70_000}}));
	t.true(port.startsWith('mesh.port: '));
	t.true(port.includes('65535'));
	t.true(port.includes('70000'));
	const [level] = faultsOf(settingsWith({log: {level: 'loud'}}));
	t.true(level.startsWith('log.level: '));
	t.true(level.includes('"info"'));
	t.true(level.includes('"loud"'));
});

test('an advertised mesh address must have a host and a port', (t) => {
	const faultsWith = (advertise: unknown) =>
		faultsOf(settingsWith({mesh: {...listener, advertise}}));
	for (const valid of ['10.0.1.1:7000', 'vm-1.example:1', '[fd00::1]:65535']) {
		t.deepEqual(faultsWith(valid), []);
	}

	for (const invalid of [
		'',
		'10.0.1.1',
		':7000',
		'10.0.1.1:',
		'10.0.1.1:0',
		'10.0.1.1:65536',
		'10.0.1.1:70a',
		'fd00::1:7000',
		'http://10.0.1.1:7000',
		'10.0.1.1:7000 ',
		7000,
		null,
	]) {
		const [fault] = faultsWith(invalid);
		t.true(fault?.startsWith('mesh.advertise: '), `accepted: ${invalid}`);
		t.true(fault.includes(`found ${JSON.stringify(invalid)}`));
	}
});

test('the time for a header may not exceed the time for the whole request', (t) => {
	const requests = {headerMs: 2000, requestMs: 1000};
	const [fault] = faultsOf(settingsWith({requests}));
	t.true(fault.startsWith('requests.headerMs: '));
	t.deepEqual(
		faultsOf(settingsWith({requests: {headerMs: 1000, requestMs: 1000}})),
		[],
	);
});

test('settings that are no object, or that lack a part, are refused', (t) => {
	t.is(faultsOf([]).length, 1);
	const {platform, ...rest} = settingsWith({});
	t.true(faultsOf(rest)[0].startsWith('platform: '));
});

type Node = {
	readonly properties?: Readonly<Record<string, Node>>;
	readonly required?: readonly string[];
	readonly default?: unknown;
};

/** A setting's path, and the text expected on the page for its default. */
type Leaf = {readonly path: string; readonly expected: string};

function expectedDefault(node: Node, isRequired: boolean): string {
	if (node.default !== undefined) {
		return JSON.stringify(node.default);
	}

	return isRequired ? 'needed' : 'none';
}

function leavesOf(node: Node, under = ''): readonly Leaf[] {
	return Object.entries(node.properties ?? {}).flatMap(([name, child]) => {
		const path = under ? `${under}.${name}` : name;
		const isRequired = node.required?.includes(name) ?? false;
		return child.properties
			? leavesOf(child, path)
			: [{path, expected: expectedDefault(child, isRequired)}];
	});
}

test('docs/SETTINGS.md lists every setting with its default, and no others', (t) => {
	const page = readFileSync(
		new URL('../../../../docs/SETTINGS.md', import.meta.url),
		'utf8',
	);
	const rows = new Map(
		[...page.matchAll(/^\| `([\w.]+)` \| ([^|]+) \|/gm)].map(
			([, name, value]) => [name, value.trim()] as const,
		),
	);
	const schema = z.toJSONSchema(settingsSchema, {io: 'input'}) as Node;
	const leaves = leavesOf(schema);
	t.deepEqual(
		[...rows.keys()].toSorted(),
		leaves.map(({path}) => path).toSorted(),
	);
	for (const {path, expected} of leaves) {
		t.is(rows.get(path), expected, `default of ${path}`);
	}
});
