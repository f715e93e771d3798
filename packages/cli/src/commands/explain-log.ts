/** Explains a request or a key from log files, without asking a daemon or the platform. */
import {createReadStream} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {outputOf, type GlobalOptions} from '../container.js';
import {exitCodes, type ExitCode} from '../exit-code.js';
import {
	sortedByTime,
	isAbout,
	parseLogLine,
	formatLine,
	type LogLine,
	type Subject,
} from '../log-line.js';

/** The file name that stands for standard input. */
const standardInput = '-';

/** Prints the lines about the subject in `files`, sorted by time; returns the exit code. */
export async function explainLog(
	options: Pick<GlobalOptions, 'output'>,
	subject: Subject,
	files: readonly string[],
): Promise<ExitCode> {
	const output = outputOf(options);
	const lines: LogLine[] = [];
	for (const file of files) {
		try {
			lines.push(...(await linesAbout(subject, file)));
		} catch (error) {
			output.printError(`${file}: ${(error as Error).message}`);
			return exitCodes.invalid;
		}
	}

	if (lines.length === 0) {
		output.printError(`no line is about ${subject.name}`);
		return exitCodes.missing;
	}

	const sorted = sortedByTime(lines);
	output.result(
		sorted.map((line) => formatLine(line)).join('\n'),
		sorted.map((line) => Object.fromEntries(line)),
	);
	return exitCodes.done;
}

async function linesAbout(subject: Subject, file: string): Promise<LogLine[]> {
	const input = file === standardInput ? process.stdin : createReadStream(file);
	const lines: LogLine[] = [];
	for await (const text of createInterface({input})) {
		const line = parseLogLine(text);
		if (line && isAbout(line, subject)) {
			lines.push(line);
		}
	}

	return lines;
}
