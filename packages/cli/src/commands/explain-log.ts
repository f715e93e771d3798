/** Explains a request or a key from logs, with no daemon or store to ask. */
import {createReadStream} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {outputOf, type GlobalOptions} from '../container.js';
import {exitCodes, type ExitCode} from '../exit-code.js';
import {
	inOrder,
	isAbout,
	parseLogLine,
	textOfLine,
	type LogLine,
	type Subject,
} from '../log-story.js';

/** Names standard input in place of a file. */
const standardInput = '-';

/** Prints what `files` say of the subject; gives the exit code. */
export async function explainLog(
	options: Pick<GlobalOptions, 'output'>,
	subject: Subject,
	files: readonly string[],
): Promise<ExitCode> {
	const output = outputOf(options);
	const found: LogLine[] = [];
	for (const file of files) {
		try {
			found.push(...(await linesAbout(subject, file)));
		} catch (error) {
			output.complain(`${file}: ${(error as Error).message}`);
			return exitCodes.invalid;
		}
	}

	if (found.length === 0) {
		output.complain(`no line is about ${subject.name}`);
		return exitCodes.missing;
	}

	const story = inOrder(found);
	output.result(
		story.map((line) => textOfLine(line)).join('\n'),
		story.map((line) => Object.fromEntries(line)),
	);
	return exitCodes.done;
}

async function linesAbout(subject: Subject, file: string): Promise<LogLine[]> {
	const input = file === standardInput ? process.stdin : createReadStream(file);
	const found: LogLine[] = [];
	for await (const text of createInterface({input})) {
		const line = parseLogLine(text);
		if (line && isAbout(line, subject)) {
			found.push(line);
		}
	}

	return found;
}
