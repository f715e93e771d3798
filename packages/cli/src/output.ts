/** Output of the command line: text for people or JSON for programs. */
import process from 'node:process';

/** Prints results and error messages. */
export abstract class Output {
	/** Prints on standard error why the command failed. */
	printError(message: string): void {
		process.stderr.write(`kingcuproute: ${message}\n`);
	}

	/** Prints one result: `text` for people, `value` for programs. */
	abstract result(text: string, value: unknown): void;
}

export class TextOutput extends Output {
	override result(text: string): void {
		process.stdout.write(`${text}\n`);
	}
}

export class JsonOutput extends Output {
	override result(_text: string, value: unknown): void {
		process.stdout.write(`${JSON.stringify(value)}\n`);
	}
}

/** Formats rows as a table, each column as wide as its widest cell. */
export function formatColumns(rows: ReadonlyArray<readonly string[]>): string {
	const widths = (rows[0] ?? []).map((_, index) =>
		Math.max(...rows.map((row) => row[index].length)),
	);
	return rows
		.map((row) =>
			row.map((cell, index) => cell.padEnd(widths[index])).join('  '),
		)
		.map((line) => line.trimEnd())
		.join('\n');
}
