/**
 * Formats pino's JSON as lines of key=value pairs. This runs in the daemon's main
 * thread: a worker thread costs several times as much as the formatting.
 */
import {levels, type DestinationStream} from 'pino';
import {logfmt, type LineFields} from './logfmt.js';

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
		const head = {level: levels.labels[level], time: this.#timeText(time)};
		this.writeLine(`${logfmt({...head, ...fields})}\n`);
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
