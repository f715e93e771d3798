/** Explains how a request was routed or why a key has its owner, from the decisions that daemons keep or from their logs. */
import process from 'node:process';
import {Left, Right} from 'purify-ts';
import {exitCodes} from '../exit-code.js';
import {run, type Parser} from './command.js';
import {explainLog} from './explain-log.js';
import {ownerOf, ownershipText} from './owner.js';

type Decision = Readonly<Record<string, string | number | boolean>>;

/** Adds `explain REQUEST-ID` and `explain KEY --service SERVICE`. */
export function explainCommand(parser: Parser): Parser {
	return parser.command(
		'explain <subject>',
		'the decisions kept about a request id or, with --service, about a key',
		(command) =>
			command
				.positional('subject', {type: 'string', demandOption: true})
				.option('service', {
					type: 'string',
					describe: 'SUBJECT is a key of this service',
				})
				.option('log', {
					type: 'string',
					array: true,
					nargs: 1,
					describe:
						'read the logs in this file (- for standard input) and ask no daemon',
				}),
		async (argv) => {
			const {subject, service, log} = argv;
			if (log) {
				process.exitCode = await explainLog(
					argv,
					{name: subject, service},
					log,
				);
				return;
			}

			await run(argv, async (session) => {
				const owner = service
					? await ownerOf(session, service, subject)
					: undefined;
				if (owner?.isLeft()) {
					return owner;
				}

				const ownership = owner?.toMaybe().extract();
				const query = ownership
					? `service=${encodeURIComponent(ownership.service)}&slice=${ownership.slice}`
					: `id=${encodeURIComponent(subject)}`;
				const {answers} = await session.daemons.askAll<readonly Decision[]>(
					`/decisions?${query}`,
				);
				const decisions = answers
					.flat()
					.sort((a, b) => Number(a.at) - Number(b.at));
				if (!ownership && decisions.length === 0) {
					return Left({
						code: exitCodes.missing,
						message: `no decision about ${subject} is kept by the daemons asked`,
					});
				}

				const lines = [
					...(ownership ? [ownershipText(ownership)] : []),
					...decisions.map((decision) => formatDecision(decision)),
				];
				session.output.result(lines.join('\n'), {ownership, decisions});
				return Right(undefined);
			});
		},
	);
}

function formatDecision({at, ...fields}: Decision): string {
	const pairs = Object.entries(fields).map(
		([name, value]) => `${name}=${value}`,
	);
	return `${new Date(Number(at)).toISOString()} ${pairs.join(' ')}`;
}
