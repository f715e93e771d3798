/**
 * The result of `npm run unit`, with a stand-in for the test runner that prints
 * given TAP lines, closes its output and exits some time later.
 */
import {execFile} from 'node:child_process';
import {chmodSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import test, {type ExecutionContext} from 'ava';

const script = fileURLToPath(
	new URL('../../../../scripts/unit.js', import.meta.url),
);

type ScriptResult = Readonly<{code: number; output: string}>;

function writeRunner(
	t: ExecutionContext,
	lines: readonly string[],
	code: number,
): string {
	const folder = mkdtempSync(path.join(tmpdir(), 'kingcuproute-unit-'));
	t.teardown(() => {
		rmSync(folder, {recursive: true});
	});
	const file = path.join(folder, 'npx');
	const commands = lines.map((line) => `echo '${line}'`);
	writeFileSync(
		file,
		['#!/bin/sh', ...commands, 'exec >&-', 'sleep 0.3', `exit ${code}`].join(
			'\n',
		),
	);
	chmodSync(file, 0o755);
	return folder;
}

async function runScript(
	t: ExecutionContext,
	lines: readonly string[],
	code: number,
): Promise<ScriptResult> {
	const folder = writeRunner(t, lines, code);
	return new Promise((resolve) => {
		const searchPath = `PATH=${folder}:${process.env.PATH ?? ''}`;
		const child = execFile(
			'/usr/bin/env',
			[searchPath, process.execPath, script],
			(_error, stdout) => {
				resolve({code: child.exitCode ?? -1, output: stdout});
			},
		);
	});
}

test('a runner that exits well after its last line passes', async (t) => {
	const {code, output} = await runScript(t, ['ok 1 - a', 'ok 2 - b'], 0);
	t.is(code, 0);
	t.true(output.endsWith('2 passed, 0 failed\n'));
});

test('a runner that fails without a failed test makes the run fail, and so does a failed test', async (t) => {
	const silent = await runScript(t, ['ok 1 - a'], 1);
	t.is(silent.code, 1);
	const failed = await runScript(t, ['ok 1 - a', 'not ok 2 - b'], 1);
	t.is(failed.code, 1);
	t.true(failed.output.includes('red: b\n'));
});

test('a run without a passed test fails', async (t) => {
	const {code} = await runScript(t, [], 0);
	t.is(code, 1);
});
