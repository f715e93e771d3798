import test from 'ava';
import {Deployment} from '../src/index.js';

const contract = {
	customer: 'tiktak-haus',
	services: ['ticket-desk'],
	ratePerSecond: 100,
	burst: 50,
	concurrency: 10,
};

test('a document with faults is refused, each fault is reported with its path and what is allowed, and nothing is written', async (t) => {
	const deployment = await Deployment.start();
	t.teardown(async () => deployment.stop());
	const {customer, ...nameless} = contract;
	const invalid: ReadonlyArray<readonly [unknown, readonly RegExp[]]> = [
		[
			{...contract, color: 'red'},
			[/color: unknown key, allowed: .*burst.*, found "red"/],
		],
		[nameless, [/customer: missing, expected string/]],
		[
			{...contract, burst: 'many', concurrency: -1},
			[/burst: .*found "many"/, /concurrency: .*found -1/],
		],
		[[], [/\(root\): .*object/]],
	];
	for (const [document, complaints] of invalid) {
		const file = deployment.writeJsonFile('wrong.json', document);
		const {code, errorLines} = await deployment.runCli(
			'contract',
			'apply',
			file,
		);
		t.is(code, 2);
		for (const complaint of complaints) {
			t.regex(errorLines.join('\n'), complaint);
		}
	}

	const {lines} = await deployment.runCli(
		'--output',
		'json',
		'contract',
		'list',
	);
	t.false(lines.join('\n').includes(contract.services[0]));
});

test('a file that does not exist or is not JSON, and wrong options, are reported by name', async (t) => {
	const deployment = await Deployment.start();
	t.teardown(async () => deployment.stop());
	const file = deployment.writeJsonFile('contract.json', contract);
	const invalid: ReadonlyArray<readonly [readonly string[], RegExp]> = [
		[['contract', 'apply', '/nowhere.json'], /nowhere\.json/],
		[['contract', 'apply', import.meta.filename], /JSON/],
		[['contract', 'apply'], /arguments/],
		[['contract', 'aply', file], /mean apply/],
		[['--output', 'xml', 'contract', 'list'], /output/],
		[['contract', 'list', '--colour'], /colour/],
	];
	for (const [args, complaint] of invalid) {
		const {code, errorLines, lines} = await deployment.runCli(...args);
		t.is(code, 2, `${args.join(' ')} ends with ${code}`);
		const printed = errorLines.join('\n');
		t.regex(printed, complaint);
		t.deepEqual(lines, []);
	}
});
