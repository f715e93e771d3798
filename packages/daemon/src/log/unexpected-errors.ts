/**
 * Keeps the process running after an error that no task has handled: other callers'
 * requests are in flight in it, and a message that causes such an error would end one
 * daemon after the other. Each error is logged with its stack.
 */
import process from 'node:process';
import {type Log} from './log.js';

/** Logs errors that nothing has caught; install it once the process has started. */
export function logUnexpectedErrors(log: Log): void {
	const logError = (origin: string, error: unknown) => {
		const {message, stack} =
			error instanceof Error ? error : new Error(String(error));
		log.error('unexpected-error', {origin, message, stack});
	};

	process.on('uncaughtException', (error, origin) => {
		logError(origin, error);
	});
	process.on('unhandledRejection', (reason) => {
		logError('unhandledRejection', reason);
	});
}
