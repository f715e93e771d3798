/**
 * Formats pino's JSON as lines of key=value pairs. This runs in the daemon's main
 * thread: a worker thread costs several times as much as the formatting.
 */
import {levels, type DestinationStream} from 'pino';
import {logfmt, type LineFields} from './logfmt.js';

/** An event that has not been formatted by pino. */
export type PlainEvent = {
	/** Wall-clock time, in ms since the Unix epoch. */
	readonly time: number;
	readonly level: string;
	readonly fields: LineFields;
};

type PinoEvent = {readonly level: number; readonly time: number};

const secondMs = 1000;

export class LineStream implements DestinationStream {
	#second = Number.NaN;
	#secondText = '';

	constructor(
		private readonly writeLine: (line: string) => void,
		/** Writes out the lines that are buffered. */
		readonly flush: () => void = () => undefined,
	) {}

	write(json: string): void {
		const {level, time, ...fields} = JSON.parse(json) as PinoEvent & LineFields;
		this.writeEvent({time, level: levels.labels[level], fields});
	}

	/** Writes an event directly, for the most frequent ones: JSON in between takes twice the time. */
	writeEvent({time, level, fields}: PlainEvent): void {
		const head = `level=${level} time=${this.#timeText(time)}`;
		this.writeLine(`${head} ${logfmt(fields)}\n`);
	}

	/** The time in ISO 8601, with a precision of seconds; formatted once per second. */
	#timeText(ms: number): string {
		const second = Math.floor(ms / secondMs);
		if (second !== this.#second) {
			this.#second = second;
			this.#secondText = `${new Date(second * secondMs).toISOString().slice(0, -5)}Z`;
		}

		return this.#secondText;
	}
}
