/** Shows and deletes the settings that must be equal at all daemons, as the first daemon wrote them. */
import {Left} from 'purify-ts';
import {invalid, platformFailure} from '../failure.js';
import {formatColumns} from '../output.js';
import {run, type Parser} from './command.js';
import {remove} from './remove.js';

const object = {kind: 'common-settings', name: 'fleet'} as const;

/** Adds `settings show` and `settings forget --yes`. */
export function settingsCommands(parser: Parser): Parser {
	return parser
		.command('show', 'show them', {}, async (argv) =>
			run(argv as never, async (session) => {
				const read = await session.platform.get(object.kind, object.name);
				return read
					.mapLeft((error) => platformFailure(error))
					.ifRight((settings) => {
						const rows = (settings.value?.durations ?? []).map(({path, ms}) => [
							path,
							`${ms} ms`,
						]);
						session.output.result(formatColumns(rows), settings);
					});
			}),
		)
		.command(
			'forget',
			'delete them, so that the next daemon to start writes its own',
			(command) =>
				command.option('yes', {
					type: 'boolean',
					default: false,
					describe:
						'every daemon is stopped; if one is not, a key may have two owners',
				}),
			async (argv) =>
				run(argv, async (session) =>
					argv.yes
						? remove(session, object, {wait: false, timeoutMs: 0})
						: Left(
								invalid(
									'daemons with other settings could give a key two owners: stop every daemon, then add --yes',
								),
							),
				),
		)
		.demandCommand(1, 'a command for settings is missing');
}
