/** The commands apply, get, list and delete for one kind of object. */
import {
	fold,
	type VersionedObject,
	type Kind,
	type KindValue,
} from '@kingcuproute/core';
import {Left, type Either} from 'purify-ts';
import {platformFailure, type Failure} from '../failure.js';
import {readDocument} from '../document.js';
import {formatColumns} from '../output.js';
import {type Session} from '../session.js';
import {change, type WaitOptions} from './change.js';
import {remove} from './remove.js';
import {run, type Parser} from './command.js';
import {withWriteOptions} from './write-options.js';

/** The kinds that operators write as documents. */
export type DocumentKind = Exclude<
	Kind,
	'table' | 'key-table' | 'succession' | 'common-settings'
>;

/** The field of a document that holds the object's name. */
const nameFields: {readonly [K in DocumentKind]: keyof KindValue<K>} = {
	contract: 'customer',
	service: 'service',
	'backend-server': 'backendServer',
	'failure-domain': 'failureDomain',
	vm: 'vm',
};

/** Adds `apply FILE`, `get NAME`, `list` and `delete NAME` for objects of `kind` to a parser. */
export function objectCommands(parser: Parser, kind: DocumentKind): Parser {
	return parser
		.command(
			'apply <file>',
			'create or replace from FILE (JSON; - for standard input)',
			(command) =>
				withWriteOptions(command).positional('file', {
					type: 'string',
					demandOption: true,
				}),
			async (argv) =>
				run(argv, async (session) => applyFile(session, kind, argv)),
		)
		.command(
			'get <name>',
			'show one',
			(command) =>
				command.positional('name', {type: 'string', demandOption: true}),
			async (argv) =>
				run(argv, async (session) => {
					const read = await session.platform.get(kind, argv.name);
					return read
						.mapLeft((error) => platformFailure(error))
						.ifRight((object) => {
							session.output.result(
								JSON.stringify(object.value, undefined, '\t'),
								object,
							);
						});
				}),
		)
		.command('list', 'show all', {}, async (argv) =>
			run(argv as never, async (session) => {
				const listing = await session.platform.list();
				return listing
					.mapLeft((error) => platformFailure(error))
					.ifRight(({objects}) => {
						printObjects(
							session,
							objects.filter((object) => object.kind === kind),
						);
					});
			}),
		)
		.command(
			'delete <name>',
			'delete one',
			(command) =>
				withWriteOptions(command).positional('name', {
					type: 'string',
					demandOption: true,
				}),
			async (argv) =>
				run(argv, async (session) =>
					remove(session, {kind, name: argv.name}, argv),
				),
		)
		.demandCommand(1, `a command for ${kind} is missing`);
}

async function applyFile(
	session: Session,
	kind: DocumentKind,
	argv: WaitOptions & {readonly file: string; readonly version?: number},
): Promise<Either<Failure, number>> {
	const document = readDocument(kind, argv.file);
	return fold(
		document,
		async (failure): Promise<Either<Failure, number>> => Left(failure),
		async (value) => {
			const name = String(value[nameFields[kind] as keyof typeof value]);
			const object = {kind, name, version: argv.version};
			return change(session, object, () => value, argv);
		},
	);
}

function printObjects(
	session: Session,
	objects: readonly VersionedObject[],
): void {
	const rows = objects.map(({name, version, value}) => [
		name,
		String(version),
		JSON.stringify(value),
	]);
	session.output.result(
		formatColumns([['name', 'version', 'value'], ...rows]),
		objects,
	);
}
