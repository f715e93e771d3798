import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	chmodSync,
	mkdirSync,
	mkdtempSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import test, {type ExecutionContext} from 'ava';

const script = fileURLToPath(
	new URL('../../../../scripts/site.js', import.meta.url),
);

const days = `
[[day]]
name = "quiet-1"
slot = "quiet"
[[day]]
name = "trouble-1"
slot = "trouble"
`;

const broken = `
[[day]]
name = "broken-1"
slot = "quiet"
`;

/** A stand-in for the bench: writes a report of the day asked for, with a broken rule on trouble days. */
const benchScript = `#!${process.execPath}
const {writeFileSync} = require('node:fs');
const [, , , , day, ...rest] = process.argv;
if (day === 'broken-1') {
	console.error('the build failed');
	process.exit(1);
}
const file = rest[rest.indexOf('--report') + 1];
const served = {n: 10, in_aim: 8, late: 1, worth: 0.9, p50_ms: 20, p99_ms: 90};
writeFileSync(file, JSON.stringify({
	G: 0.5, served: 0.9, refused: 0.05, failed: 0.05, exits_n: 0,
	breaks: day === 'trouble-1' ? {OWNER: 2} : {},
	windows: [served, {...served, in_aim: 2}],
	prices: [['times all keys moved', 0.25, 0.1], ['cloud calls', 100, 0.1]],
	classes: [{...served, name: 'look'}],
	services: [{name: 's', busiest_x: 1.5}],
	nodes: [{role: 'r', cpu_mean: 0.1, cpu_peak: 0.2, mem_peak_mb: 60}],
}));
console.error('1.0 vm event=request-refused id=q reason=overloaded notRun=true');
console.log(day + '   11/39   0.75  0.500  0.900');
`;

/** Creates a folder laid out like the users' kit, with one site. */
function createKit(t: ExecutionContext): string {
	const folder = mkdtempSync(path.join(tmpdir(), 'kit-'));
	t.teardown(() => {
		rmSync(folder, {recursive: true});
	});
	mkdirSync(path.join(folder, 'sites'));
	mkdirSync(path.join(folder, 'bin'));
	writeFileSync(path.join(folder, 'sites', 'one.toml'), days);
	writeFileSync(path.join(folder, 'bin', 'fleetbench'), benchScript);
	chmodSync(path.join(folder, 'bin', 'fleetbench'), 0o755);
	return folder;
}

async function runScript(args: readonly string[]) {
	const child = spawn(process.execPath, [script, ...args]);
	const ended = once(child, 'close');
	const [output, errors] = await Promise.all([
		child.stdout.toArray(),
		child.stderr.toArray(),
	]);
	const [code] = (await ended) as [number];
	return {code, output: output.join(''), errors: errors.join('')};
}

test('quiet days are played with the given seeds, and summed up', async (t) => {
	const folder = createKit(t);
	const site = path.join(folder, 'sites', 'one.toml');
	const json = path.join(folder, 'site.json');
	const options = ['--calm', '--days', '2', '--seed', '7', '--json', json];
	const {code, output} = await runScript([site, ...options]);
	t.is(code, 0);
	t.regex(output, /^quiet-1 {2}seed 7 .*unavailable 2 s {2}no rule broken$/m);
	t.regex(output, /^quiet-1 {2}seed 8 /m);
	t.regex(output, /mean score 0\.75, worth 0\.5; 4 s unavailable/);
	t.regex(output, /refused: overloaded 2/);
	const {summary} = JSON.parse(readFileSync(json, 'utf8')) as {
		readonly summary: unknown;
	};
	t.like(summary, {days: 2, keysMoved: 0.25, storeCalls: 100});
});

test('the command exits with 1 if a rule is broken', async (t) => {
	const folder = createKit(t);
	const json = path.join(folder, 'site.json');
	const site = path.join(folder, 'sites', 'one.toml');
	const {code, output} = await runScript([site, '--json', json]);
	t.is(code, 1);
	t.regex(output, /^trouble-1 .*broken: OWNER 2$/m);
	t.regex(output, /^2 days; rules broken: OWNER$/m);
});

test('a day that the bench cannot play is reported, with its error output', async (t) => {
	const folder = createKit(t);
	const site = path.join(folder, 'sites', 'one.toml');
	writeFileSync(site, broken);
	const json = path.join(folder, 'site.json');
	const {code, output, errors} = await runScript([site, '--json', json]);
	t.is(code, 1);
	t.regex(output, /^broken-1: not played$/m);
	t.regex(errors, /the build failed/);
});

test('without the kit, or with a wrong option, the command reports that and exits with 2', async (t) => {
	const missing = await runScript(['nowhere.toml']);
	t.is(missing.code, 2);
	t.regex(missing.errors, /nowhere\.toml: no such file/);
	const folder = createKit(t);
	const site = path.join(folder, 'sites', 'one.toml');
	for (const wrong of [['--days', 'none'], ['--fast'], ['--seed', '-1']]) {
		const {code, errors} = await runScript([site, ...wrong]);
		t.is(code, 2, `${wrong.join(' ')}`);
		t.not(errors, '');
	}
});
