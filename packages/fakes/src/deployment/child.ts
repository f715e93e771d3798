/** A child process of a test or a demonstration. It is ended by its own process id. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';

const lineTimeoutMs = 20_000;

const running = new Set<ChildProcess>();

/** Leaves no child running if this process ends with an error. */
process.once('exit', () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
});

export class Child {
	readonly lines: string[] = [];
	readonly errorLines: string[] = [];
	readonly #process: ChildProcess;

	constructor(
		readonly name: string,
		file: string,
		args: readonly string[],
		/** Environment variables in addition to those of this process. */
		variables: Readonly<Record<string, string>> = {},
	) {
		this.#process = spawn(process.execPath, [file, ...args], {
			env: {...process.env, ...variables},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		running.add(this.#process);
		this.#process.once('exit', () => running.delete(this.#process));
		createInterface({input: this.#process.stderr!}).on('line', (line) => {
			this.errorLines.push(line);
		});
		createInterface({input: this.#process.stdout!}).on('line', (line) => {
			this.lines.push(line);
			this.#process.emit('line', line);
		});
	}

	get pid(): number {
		return this.#process.pid!;
	}

	/** The first line of standard output, past or future, that contains `text`; rejects after `lineTimeoutMs`. */
	async line(text: string): Promise<string> {
		const printed = this.lines.find((line) => line.includes(text));
		if (printed !== undefined) {
			return printed;
		}

		return new Promise((resolve, reject) => {
			const timer = setTimeout(() => {
				reject(
					new Error(
						`${this.name}: no line with ${text} in ${lineTimeoutMs} ms`,
					),
				);
			}, lineTimeoutMs);
			const onLine = (line: string) => {
				if (line.includes(text)) {
					clearTimeout(timer);
					this.#process.off('line', onLine);
					resolve(line);
				}
			};

			this.#process.on('line', onLine);
		});
	}

	/** Resolves with the exit code once the process has ended by itself and its output is read. */
	async exited(): Promise<number> {
		const [code] = (await once(this.#process, 'close')) as [number | null]; // eslint-disable-line @typescript-eslint/no-restricted-types
		return code ?? -1;
	}

	signal(signal: NodeJS.Signals): void {
		this.#process.kill(signal);
	}

	/** Sends `signal` and resolves with the exit code once the process is gone. */
	async end(signal: NodeJS.Signals = 'SIGTERM'): Promise<number | undefined> {
		if (this.#process.exitCode === null && this.#process.signalCode === null) {
			const gone = once(this.#process, 'exit');
			this.#process.kill(signal);
			await gone;
		}

		return this.#process.exitCode ?? undefined;
	}
}
