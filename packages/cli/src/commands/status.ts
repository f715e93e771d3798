/** Shows the state of the fleet: what all daemons know alike, and what each of the asked daemons guards. */
import {Left, Right, type Either} from 'purify-ts';
import {exitCodes} from '../exit-code.js';
import {type Failure} from '../failure.js';
import {formatColumns} from '../output.js';
import {type Session} from '../session.js';
import {run, type Parser} from './command.js';

type Status = Readonly<Record<string, unknown>> & {
	readonly guards: readonly unknown[];
	readonly quarantined: readonly string[];
	readonly shed: Readonly<Record<string, number>>;
};

/** Adds `status`. */
export function statusCommand(parser: Parser): Parser {
	return parser.command(
		'status',
		'members, versions, leases, what is blocked or shed and why; guards and shed customers of every --operator',
		{},
		async (argv) =>
			run(argv as never, async (session) => {
				const read = await fetchStatus(session);
				return read.ifRight((status) => {
					session.output.result(formatStatus(status), status);
				});
			}),
	);
}

async function fetchStatus({
	daemons,
}: Session): Promise<Either<Failure, Readonly<Record<string, unknown>>>> {
	const {answers, unanswered} = await daemons.askAll<Status>('/status');
	const [first] = answers;
	if (!first) {
		const addresses = unanswered.join(', ') || 'none given: use --operator';
		return Left({
			code: exitCodes.unavailable,
			message: `no daemon answered (${addresses})`,
		});
	}

	return Right({
		...first,
		guards: answers.flatMap(({guards}) => guards),
		quarantined: [...new Set(answers.flatMap(({quarantined}) => quarantined))],
		shed: shedByCustomer(answers),
		unanswered,
	});
}

/** Requests refused because of limits in the last second, by customer. */
function shedByCustomer(
	answers: readonly Status[],
): Readonly<Record<string, number>> {
	const sums: Record<string, number> = {};
	for (const {shed} of answers) {
		for (const [customer, refused] of Object.entries(shed)) {
			sums[customer] = (sums[customer] ?? 0) + refused;
		}
	}

	return sums;
}

function formatStatus(status: Readonly<Record<string, unknown>>): string {
	return Object.entries(status)
		.map(([name, value]) => `${name}: ${formatValue(value)}`)
		.join('\n');
}

function formatValue(value: unknown): string {
	if (!Array.isArray(value)) {
		return typeof value === 'string' ? value : JSON.stringify(value);
	}

	if (value.length === 0) {
		return 'none';
	}

	const rows = value.map((item: unknown) =>
		typeof item === 'object' && item ? item : {item},
	);
	const names = Object.keys(
		Object.assign({}, ...rows) as Record<string, unknown>,
	);
	const cells = rows.map((row) =>
		names.map((field) => formatCell((row as Record<string, unknown>)[field])),
	);
	return `${value.length}\n${formatColumns([names, ...cells]).replaceAll(/^/gm, '  ')}`;
}

function formatCell(value: unknown): string {
	return typeof value === 'string' ? value : (JSON.stringify(value) ?? '');
}
