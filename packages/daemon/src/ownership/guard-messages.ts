/** Converts messages between guardians to and from the core's types. */
import {
	type ReleaseAnswer,
	type ReleaseRequest,
	type SliceTable,
	type Succession,
} from '@kingcuproute/core';
import {
	type ChargeMessage,
	type PlannedRowMessage,
	type ReleaseAnswerMessage,
	type ReleaseMessage,
} from '@kingcuproute/mesh';

/** A backend server, and the term of its guard that a message refers to. */
export type Charge = {
	readonly service: string;
	readonly server: string;
	readonly term: number;
};

export function chargeOf({service, server, term}: ChargeMessage): Charge {
	return {service: service ?? '', server: server ?? '', term: term ?? 0};
}

export function releaseRequestOf(message: ReleaseMessage): ReleaseRequest {
	return {
		from: message.from ?? '',
		term: chargeOf(message.charge ?? {}).term,
		plan: planOf(message.plan ?? []),
	};
}

/** The answer as sent, with `table` if the caller passes one because the requester's is older. */
export function releaseAnswerMessage(
	answer: ReleaseAnswer,
	table: SliceTable | undefined,
): ReleaseAnswerMessage {
	if (answer.kind === 'refused') {
		return {released: false, reason: answer.reason};
	}

	const {leaseLeftMs, tableVersion} = answer;
	const base = {released: true, leaseLeftMs, tableVersion};
	return table ? {...base, table: JSON.stringify(table)} : base;
}

function planOf(rows: readonly PlannedRowMessage[]): Succession['rows'] {
	return rows.map(({slice, owner, epoch}) => ({
		slice: slice ?? 0,
		owner: owner ?? '',
		epoch: epoch ?? 0,
	}));
}
