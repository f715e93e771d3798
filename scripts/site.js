#!/usr/bin/env node
/**
 * Plays days of a site with the users' bench and sums them up: a line a day, then a
 * summary, and the same as JSON beside it.
 *
 *     npm run site -- SITE.toml [--calm] [--days N] [--seed S] [--json FILE]
 *
 * Without `--days` each standard day of the site is played once, or each quiet one with
 * `--calm`. Ends with 1 when a rule was broken or a day could not be played, with 2 when
 * the command cannot be carried out.
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
import {dayNames, lineOf, summaryOf, textOf} from './site-summary.js';

const usage =
	'usage: npm run site -- SITE.toml [--calm] [--days N] [--seed S] [--json FILE]';
/** The bench asks for half of the processors at most. */
const jobs = 2;
/** What is shown of the bench's own words and our logs when a day cannot be played, in lines. */
const saidLines = 20;

function refuse(message) {
	process.stderr.write(`${message}\n`);
	process.exit(2);
}

function asked() {
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

function wholeNumber(name, text, least) {
	const value = Number(text);
	if (!Number.isSafeInteger(value) || value < least) {
		refuse(`--${name} ${text}: expected a whole number from ${least}`);
	}

	return value;
}

/** Plays one day; undefined where the bench gave no report. */
async function played({bench, site, name, seed}, file) {
	const seeded = seed === undefined ? [] : ['--seed', String(seed)];
	const why = ['--why', 'npm run site'];
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
			...why,
		],
		{stdio: ['ignore', 'pipe', 'pipe']},
	);
	const ended = once(run, 'close');
	const refusals = {};
	let said = [];
	createInterface({input: run.stderr}).on('line', (line) => {
		const [, reason] =
			/event=request-refused .*\breason=([a-z-]+)/.exec(line) ?? [];
		if (reason) {
			refusals[reason] = (refusals[reason] ?? 0) + 1;
		}

		said = [...said.slice(-saidLines), line];
	});
	let score;
	for await (const line of createInterface({input: run.stdout})) {
		const [, shown] = /^\S+\s+\d+\/\d+\s+(\d+\.\d+)\s/.exec(line) ?? [];
		score ??= shown === undefined ? undefined : Number(shown);
	}

	await ended;
	if (!existsSync(file)) {
		process.stderr.write(`${said.join('\n')}\n`);
		return undefined;
	}

	const report = JSON.parse(readFileSync(file, 'utf8'));
	return {name, seed, score, refusals, report};
}

const {positionals, values} = asked();
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
	const day = await played({bench, site, name, seed: daySeed}, file);
	if (day) {
		days.push(day);
		process.stdout.write(`${lineOf(day)}\n`);
	} else {
		process.stdout.write(`${name}: not played\n`);
	}
}

rmSync(folder, {recursive: true});
const summary = summaryOf(days);
process.stdout.write(textOf(summary));
mkdirSync(path.dirname(values.json), {recursive: true});
writeFileSync(
	values.json,
	`${JSON.stringify({summary, days}, undefined, '\t')}\n`,
);
const isSound = days.length === count && summary.broken.length === 0;
process.exitCode = isSound ? 0 : 1;
