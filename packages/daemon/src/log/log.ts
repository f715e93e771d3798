/** The daemon's log: one line of key=value pairs for each event. */
import process from 'node:process';
import {pino, type Logger} from 'pino';
import {LineStream} from './line-stream.js';

const stdoutFd = 1;
/** Routing lines are written together: once they have this length, in bytes, or when this time is over. */
const batchLen = 4096;
const flushMs = 100;
/** What waits for a slow reader, in bytes; lines beyond it are dropped. */
const maxWaitingLen = 4_194_304;
/** Of one value: a stack fits, and what others have written is cut. */
const maxValueLen = 2000;

/** Levels, least first. */
export const levels = ['debug', 'info', 'warn', 'error', 'silent'] as const;

export type Level = (typeof levels)[number];

/** What an event says of itself, beside its name. */
export type Fields = Readonly<
	Record<string, string | number | boolean | undefined>
>;

/** What is written. */
export type LogOptions = {
	readonly level: Level;
	/** One routing line in this many is written. */
	readonly routingSample: number;
};

/** Keeps events for later questions, whatever level is written. */
export type Recorder = (event: string, fields: Fields) => void;

/** Writes events, each at once but for routing decisions; `event` names are fixed, lower case and hyphenated. */
export class Log {
	/** A log to standard output whose lines all carry `base`. */
	static to(
		{level, routingSample}: LogOptions,
		base: Fields,
		recorder?: Recorder,
	): Log {
		const output = pino.destination({
			dest: stdoutFd,
			sync: false,
			minLength: batchLen,
			maxLength: maxWaitingLen,
			periodicFlush: flushMs,
		});
		process.on('exit', () => {
			output.flushSync();
		});
		const lines = new LineStream(
			(line) => output.write(line),
			() => {
				output.flush();
			},
		);
		return new Log(pino({level, base}, lines), recorder, routingSample);
	}

	#routings = 0;

	constructor(
		private readonly logger: Logger,
		private readonly recorder?: Recorder,
		private readonly routingSample = 1,
	) {}

	/** A routing decision: every one is kept, one in `routingSample` is written. */
	routing(event: string, fields: Fields): void {
		const shown = bounded(fields);
		this.recorder?.(event, shown);
		this.#routings++;
		if (this.#routings % this.routingSample === 0) {
			this.logger.info({event, ...shown});
		}
	}

	debug(event: string, fields: Fields = {}): void {
		this.logger.debug({event, ...bounded(fields)});
		this.logger.flush();
	}

	info(event: string, fields: Fields = {}): void {
		const shown = bounded(fields);
		this.recorder?.(event, shown);
		this.logger.info({event, ...shown});
		this.logger.flush();
	}

	warn(event: string, fields: Fields = {}): void {
		const shown = bounded(fields);
		this.recorder?.(event, shown);
		this.logger.warn({event, ...shown});
		this.logger.flush();
	}

	error(event: string, fields: Fields = {}): void {
		const shown = bounded(fields);
		this.recorder?.(event, shown);
		this.logger.error({event, ...shown});
		this.logger.flush();
	}
}

function bounded(fields: Fields): Fields {
	return Object.values(fields).some((value) => isLong(value))
		? Object.fromEntries(
				Object.entries(fields).map(([name, value]) => [
					name,
					isLong(value) ? `${value.slice(0, maxValueLen)}…` : value,
				]),
			)
		: fields;
}

function isLong(value: Fields[string]): value is string {
	return typeof value === 'string' && value.length > maxValueLen;
}
