/** Runs the commands: each gets a session and returns a failure or a result. */
import process from 'node:process';
import {type Either} from 'purify-ts';
import {type Argv} from 'yargs';
import {openSession, type GlobalOptions} from '../container.js';
import {type Failure} from '../failure.js';
import {type Session} from '../session.js';

/** The argument parser, with the options that every command takes. */
export type Parser = Argv<GlobalOptions>;

/** The body of a command; its Right is ignored. */
export type Action = (session: Session) => Promise<Either<Failure, unknown>>;

/** Runs `action` in a new session; a failure becomes a message on standard error and an exit code. */
export async function run(
	options: GlobalOptions,
	action: Action,
): Promise<void> {
	const {session, close} = openSession(options);
	try {
		const result = await action(session);
		result.ifLeft(({code, message}) => {
			session.output.printError(message);
			process.exitCode = code;
		});
	} finally {
		await close();
	}
}
