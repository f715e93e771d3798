/** Takes a failure domain, a VM or a backend server out of service and back in. */
import {type KindValue} from '@kingcuproute/core';
import {type Change} from '../apply.js';
import {change} from './change.js';
import {run, type Parser} from './command.js';
import {withWriteOptions} from './write-options.js';

/** Kinds that can be taken out of service. */
export type DrainableKind = 'failure-domain' | 'vm' | 'backend-server';

type DrainableValue = KindValue<DrainableKind>;

/** Adds `out NAME` and `in NAME`; `create` returns the initial object, for kinds whose objects need not exist yet. */
export function inOutCommands(
	parser: Parser,
	kind: DrainableKind,
	create?: (name: string) => DrainableValue,
): Parser {
	const setOut = async (
		argv: Parameters<typeof run>[0] & {
			name: string;
			wait: boolean;
			timeoutMs: number;
			version?: number;
		},
		out: boolean,
	) =>
		run(argv, async (session) => {
			const {name, version} = argv;
			const withOut: Change<DrainableKind> = (value) => {
				const current = value ?? create?.(name);
				return current && {...current, out};
			};

			return change(session, {kind, name, version}, withOut, argv);
		});
	const withName = (command: Parser) =>
		withWriteOptions(command).positional('name', {
			type: 'string',
			demandOption: true,
		});
	return parser
		.command(
			'out <name>',
			'take out of service: no new work, running work finishes',
			withName,
			async (argv) => setOut(argv, true),
		)
		.command('in <name>', 'put back into service', withName, async (argv) =>
			setOut(argv, false),
		);
}
