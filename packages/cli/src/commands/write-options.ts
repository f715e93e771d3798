/** The options of commands that change an object. */
import {type Argv} from 'yargs';
import {type GlobalOptions} from '../container.js';

const defaultTimeoutMs = 10_000;

/** Adds --wait, --timeout-ms and --version. Values that can't work are refused before anything is written. */
export function withWriteOptions(command: Argv<GlobalOptions>) {
	return command
		.option('wait', {
			type: 'boolean',
			default: false,
			describe:
				'return only once every live daemon has the change in force (needs --operator)',
		})
		.option('timeoutMs', {
			type: 'number',
			default: defaultTimeoutMs,
			describe: 'how long --wait waits, in ms',
		})
		.option('version', {
			type: 'number',
			describe: 'the version you looked at; any other version is a conflict',
		})
		.check(({wait, operator, timeoutMs, version}) => {
			if (wait && operator.length === 0) {
				throw new Error('--wait asks daemons: give --operator HOST:PORT');
			}

			if (!(timeoutMs > 0)) {
				throw new Error('--timeout-ms must be a number of ms above 0');
			}

			if (version !== undefined && !Number.isInteger(version)) {
				throw new Error('--version must be a whole number');
			}

			return true;
		});
}
