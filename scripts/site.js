#!/usr/bin/env node
/**
 * Runs days of a site with the users' bench and summarizes them: one line per day, then
 * a summary, and both as JSON in a file.
 *
 *     npm run site -- SITE.toml [--calm] [--days N] [--seed S] [--json FILE]
 *
 * Without `--days` each standard day of the site is run once, or each quiet one with
 * `--calm`. Exits with 1 if a rule was broken or a day could not be run, with 2 if the
 * arguments are wrong or the bench is missing.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	existsSync,
	mkdirSync,
	mkdtempSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {parseArgs} from 'node:util';
import {dayNames, dayLine, summaryOf, summaryText} from './site-summary.js';

const usage =
	'usage: npm run site -- SITE.toml [--calm] [--days N] [--seed S] [--json FILE]';
/** The bench asks that its jobs take half of the processors at most. */
const jobs = 2;
/** How many of the last lines of the bench's messages and our logs are shown if a day cannot be run. */
const shownLines = 20;

function refuse(message) {
	process.stderr.write(`${message}\n`);
	process.exit(2);
}

function readArguments() {
	try {
		return parseArgs({
			allowPositionals: true,
			options: {
				calm: {type: 'boolean', default: false},
				days: {type: 'string'},
				seed: {type: 'string'},
				json: {type: 'string', default: 'target/site.json'},
			},
		});
	} catch (error) {
		return refuse(`${error.message}\n${usage}`);
	}
}

function wholeNumber(name, text, minimum) {
	const value = Number(text);
	if (!Number.isSafeInteger(value) || value < minimum) {
		refuse(`--${name} ${text}: expected a whole number from ${minimum}`);
	}

	return value;
}

/** Runs one day; returns undefined if the bench wrote no report. */
async function runDay({bench, site, name, seed}, file) {
	const seeded = seed === undefined ? [] : ['--seed', String(seed)];
	const purpose = ['--why', 'npm run site'];
	const run = spawn(
		bench,
		[
			'run',
			site,
			name,
			...seeded,
			'--jobs',
			String(jobs),
			'--report',
			file,
			'--log',
			'all',
			...purpose,
		],
		{stdio: ['ignore', 'pipe', 'pipe']},
	);
	const ended = once(run, 'close');
	const refusals = {};
	let lastLines = [];
	createInterface({input: run.stderr}).on('line', (line) => {
		const [, reason] =
			/event=request-refused .*\breason=([a-z-]+)/.exec(line) ?? [];
		if (reason) {
			refusals[reason] = (refusals[reason] ?? 0) + 1;
		}

		lastLines = [...lastLines.slice(-shownLines), line];
	});
	let score;
	for await (const line of createInterface({input: run.stdout})) {
		const [, shown] = /^\S+\s+\d+\/\d+\s+(\d+\.\d+)\s/.exec(line) ?? [];
		score ??= shown === undefined ? undefined : Number(shown);
	}

	await ended;
	if (!existsSync(file)) {
		process.stderr.write(`${lastLines.join('\n')}\n`);
		return undefined;
	}

	const report = JSON.parse(readFileSync(file, 'utf8'));
	return {name, seed, score, refusals, report};
}

const {positionals, values} = readArguments();
if (positionals.length !== 1) {
	refuse(usage);
}

const [site] = positionals;
if (!existsSync(site)) {
	refuse(
		`${site}: no such file; the site files come with the users' kit, which is no part of this repository`,
	);
}

const bench = path.resolve(path.dirname(site), '..', 'bin', 'fleetbench');
if (!existsSync(bench)) {
	refuse(`${site}: no bench in the folder bin beside its own`);
}

const names = dayNames(readFileSync(site, 'utf8'), values.calm);
if (names.length === 0) {
	refuse(`${site}: no ${values.calm ? 'quiet ' : ''}day in it`);
}

const count = wholeNumber('days', values.days ?? names.length, 1);
const seed =
	values.seed === undefined ? undefined : wholeNumber('seed', values.seed, 0);
const folder = mkdtempSync(path.join(tmpdir(), 'site-'));
const days = [];
for (let index = 0; index < count; index++) {
	const name = names[index % names.length];
	const daySeed = seed === undefined ? undefined : seed + index;
	const file = path.join(folder, `${index}.json`);
	const day = await runDay({bench, site, name, seed: daySeed}, file);
	if (day) {
		days.push(day);
		process.stdout.write(`${dayLine(day)}\n`);
	} else {
		process.stdout.write(`${name}: not played\n`);
	}
}

rmSync(folder, {recursive: true});
const summary = summaryOf(days);
process.stdout.write(summaryText(summary));
mkdirSync(path.dirname(values.json), {recursive: true});
writeFileSync(
	values.json,
	`${JSON.stringify({summary, days}, undefined, '\t')}\n`,
);
const isSound = days.length === count && summary.broken.length === 0;
process.exitCode = isSound ? 0 : 1;
