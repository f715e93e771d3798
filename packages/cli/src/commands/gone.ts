/** Records an operator's assertion that a daemon run is gone for good, so that others may take over what it guarded. */
import {Left} from 'purify-ts';
import {invalid} from '../failure.js';
import {change} from './change.js';
import {run, type Parser} from './command.js';
import {withWriteOptions} from './write-options.js';

/** Adds `gone NAME --run VM.INCARNATION --yes`. */
export function goneCommand(parser: Parser): Parser {
	return parser.command(
		'gone <name>',
		'assert that a daemon run is gone for good, so that what it guarded may move',
		(command) =>
			withWriteOptions(command)
				.positional('name', {type: 'string', demandOption: true})
				.option('run', {
					type: 'string',
					demandOption: true,
					describe: 'the daemon run, as status names it: VM.INCARNATION',
				})
				.option('yes', {
					type: 'boolean',
					default: false,
					describe:
						'you have seen that the VM is stopped; if it is not, a key may have two owners',
				}),
		async (argv) =>
			run(argv, async (session) => {
				const {name, version} = argv;
				if (!argv.yes) {
					return Left(
						invalid(
							`a wrong assertion can give a key two owners: make sure that ${argv.run} is stopped, then add --yes`,
						),
					);
				}

				if (!argv.run.startsWith(`${name}.`)) {
					return Left(invalid(`${argv.run} is not a run of VM ${name}`));
				}

				const gone = argv.run.slice(name.length + 1);
				return change(
					session,
					{kind: 'vm', name, version},
					(value) => ({...(value ?? {vm: name, out: false}), gone}),
					argv,
				);
			}),
	);
}
