#!/usr/bin/env node
/**
 * The benches: `npm run bench -- NAME [OPTIONS]`. The module bench/NAME/NAME.ts
 * exports `run`, which takes the options and resolves once the result is written.
 */
import process from 'node:process';

const names = [
	'failover',
	'placement',
	'routing',
	'path',
	'capacity',
	'fleet',
	'cost',
	'choice',
];

type Bench = {readonly run: (options: readonly string[]) => Promise<void>};

const [name = '', ...options] = process.argv.slice(2);
if (names.includes(name)) {
	const bench = (await import(`./bench/${name}/${name}.js`)) as Bench;
	await bench.run(options);
} else {
	process.stderr.write(
		`usage: npm run bench -- ${names.join('|')} [OPTIONS]\n`,
	);
	process.exitCode = 2;
}
