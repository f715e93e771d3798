#!/usr/bin/env node
/**
 * Runs the property tests of the core with new random seeds: `npm run seeds -- COUNT`.
 * Prints the seed of each run, and exits with 1 if one of them failed.
 */
import {spawnSync} from 'node:child_process';
import {randomInt} from 'node:crypto';
import process from 'node:process';

const defaultCount = 5;
const maxSeed = 2 ** 31 - 1;
const files = 'packages/core/dist/test/**/*.test.js';

const count = Number(process.argv[2] ?? defaultCount);
if (!Number.isInteger(count) || count < 1) {
	process.stderr.write(
		`seeds: COUNT must be a whole number above 0, not "${process.argv[2]}"\n`,
	);
	process.exit(2);
}

const failed = [];
for (let run = 1; run <= count; run++) {
	const seed = String(randomInt(maxSeed));
	const {status} = spawnSync('npx', ['ava', files], {
		stdio: ['ignore', 'inherit', 'inherit'],
		env: {...process.env, SEED: seed},
	});
	process.stdout.write(
		`seed ${seed}: ${status === 0 ? 'passed' : 'failed'} (${run} of ${count})\n`,
	);
	if (status !== 0) {
		failed.push(seed);
	}
}

process.stdout.write(
	failed.length === 0
		? `${count} seeds passed\n`
		: `failed: ${failed.map((seed) => `SEED=${seed}`).join(' ')}\n`,
);
process.exitCode = failed.length === 0 ? 0 : 1;
