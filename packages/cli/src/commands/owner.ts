/** Shows the owner of a key, from the table in force at a daemon. */
import {rowIndexOf, sliceCount, type SliceTable} from '@kingcuproute/core';
import {Left, Right, type Either} from 'purify-ts';
import {exitCodes} from '../exit-code.js';
import {type Failure} from '../failure.js';
import {type Session} from '../session.js';
import {run, type Parser} from './command.js';

/** A key's owner, and the servers and daemons that stand by for it. */
export type Ownership = {
	readonly service: string;
	readonly key: string;
	/** The index of the key's row in the table. */
	readonly slice: number;
	/** Whether the key is a hot key, which has a row of its own. */
	readonly hot: boolean;
	readonly owner: string;
	readonly epoch: number;
	readonly standby: string;
	readonly to?: string;
	readonly guardian?: string;
	readonly successor?: string;
};

/** Adds `owner SERVICE KEY`. */
export function ownerCommand(parser: Parser): Parser {
	return parser.command(
		'owner <service> <key>',
		'the backend server that owns KEY, its epoch, standby and guardian',
		(command) =>
			command
				.positional('service', {type: 'string', demandOption: true})
				.positional('key', {type: 'string', demandOption: true}),
		async (argv) =>
			run(argv, async (session) => {
				const read = await ownerOf(session, argv.service, argv.key);
				return read.ifRight((ownership) => {
					session.output.result(ownershipText(ownership), ownership);
				});
			}),
	);
}

/** Looks up the owner of a key in the table in force. */
export async function ownerOf(
	{daemons}: Session,
	service: string,
	key: string,
): Promise<Either<Failure, Ownership>> {
	const answer = await daemons.ask<{readonly table?: SliceTable}>(
		`/table?service=${encodeURIComponent(service)}`,
	);
	return answer.chain(({table}): Either<Failure, Ownership> => {
		const slice = table && table.rows.length > 0 ? rowIndexOf(table, key) : 0;
		const row = table?.rows[slice];
		if (!table || !row) {
			return Left({
				code: exitCodes.missing,
				message: `service ${service} has no table of owners`,
			});
		}

		const guard = table.guards[row.owner];
		return Right({
			service,
			key,
			slice,
			hot: slice >= sliceCount(table),
			...row,
			guardian: guard?.guardian,
			successor: guard?.successor,
		});
	});
}

/** An ownership as one line of text. */
export function ownershipText(ownership: Ownership): string {
	const {service, key, slice, hot, owner, epoch, standby, to} = ownership;
	const {guardian, successor} = ownership;
	const row = hot ? `hot key, row ${slice}` : `slice ${slice}`;
	const moving = to ? `, moving to ${to}` : '';
	return `${service} ${key}: ${row}, owner ${owner || 'none'} at epoch ${epoch}${moving}, standby ${standby || 'none'}, guardian ${guardian ?? 'none'}, successor ${successor ?? 'none'}`;
}
