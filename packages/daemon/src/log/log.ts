/** The daemon's log: one line of key=value pairs for each event. */
import process from 'node:process';
import {type Clock} from '@kingcuproute/core';
import {pino, type Logger} from 'pino';
import {LineStream} from './line-stream.js';

const stdoutFd = 1;
/** Routing lines are buffered and written once they have this length, in bytes, or after this time. */
const batchLen = 4096;
const flushMs = 100;
/** Limit on what is buffered for a slow reader, in bytes; lines beyond it are dropped. */
const maxWaitingLen = 4_194_304;
/** Length to which a value is cut: a stack trace fits, and long values that others have written are bounded. */
const maxValueLen = 2000;

/** Levels, in increasing order. */
export const levels = ['debug', 'info', 'warn', 'error', 'silent'] as const;

export type Level = (typeof levels)[number];

/** The fields of an event beside its name. */
export type LogFields = Readonly<
	Record<string, string | number | boolean | undefined>
>;

/** Which events are written. */
export type LogOptions = {
	readonly level: Level;
	/** One in this many routing lines is written. */
	readonly routingSample: number;
};

/** Records events for later queries, whatever level is written; debug events are not recorded. */
export type Recorder = (event: string, fields: LogFields) => void;

/** Writes events. All but routing decisions are flushed at once. `event` names are fixed, lower case and hyphenated. */
export class Log {
	/** Creates a log to standard output; every line has the fields of `base`. With `clock`, routing lines are formatted directly. */
	static to(
		{level, routingSample}: LogOptions,
		base: LogFields,
		recorder?: Recorder,
		clock?: Clock,
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
		const logger = pino({level, base}, lines);
		const writeRouting: Recorder | undefined =
			clock && logger.isLevelEnabled('info')
				? (event, fields) => {
						lines.writeEvent({
							time: clock.wall(),
							level: 'info',
							fields: {...base, event, ...definedOf(fields)},
						});
					}
				: undefined;
		return new Log(logger, recorder, routingSample, writeRouting);
	}

	#routingCount = 0;

	constructor(
		private readonly logger: Logger,
		private readonly recorder?: Recorder,
		private readonly routingSample = 1,
		private readonly writeRouting: Recorder = (event, fields) => {
			logger.info({event, ...fields});
		},
	) {}

	/** Logs a routing decision: all are recorded, one in `routingSample` is written. */
	routing(event: string, fields: LogFields): void {
		const boundedFields = withBoundedValues(fields);
		this.recorder?.(event, boundedFields);
		this.#routingCount++;
		if (this.#routingCount % this.routingSample === 0) {
			this.writeRouting(event, boundedFields);
		}
	}

	debug(event: string, fields: LogFields = {}): void {
		this.logger.debug({event, ...withBoundedValues(fields)});
		this.logger.flush();
	}

	info(event: string, fields: LogFields = {}): void {
		const boundedFields = withBoundedValues(fields);
		this.recorder?.(event, boundedFields);
		this.logger.info({event, ...boundedFields});
		this.logger.flush();
	}

	warn(event: string, fields: LogFields = {}): void {
		const boundedFields = withBoundedValues(fields);
		this.recorder?.(event, boundedFields);
		this.logger.warn({event, ...boundedFields});
		this.logger.flush();
	}

	error(event: string, fields: LogFields = {}): void {
		const boundedFields = withBoundedValues(fields);
		this.recorder?.(event, boundedFields);
		this.logger.error({event, ...boundedFields});
		this.logger.flush();
	}
}

/** As JSON does, leaves out fields without a value. */
function definedOf(fields: LogFields): LogFields {
	return Object.fromEntries(
		Object.entries(fields).filter(([, value]) => value !== undefined),
	);
}

function withBoundedValues(fields: LogFields): LogFields {
	return Object.values(fields).some((value) => isLong(value))
		? Object.fromEntries(
				Object.entries(fields).map(([name, value]) => [
					name,
					isLong(value) ? `${value.slice(0, maxValueLen)}…` : value,
				]),
			)
		: fields;
}

function isLong(value: LogFields[string]): value is string {
	return typeof value === 'string' && value.length > maxValueLen;
}
