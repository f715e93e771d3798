/** Events that a guardian reacts to. Each yields a new state and has no other effect. */
import {type Millis} from '../../time/clock.js';
import {type Order, type ServerState} from '../order.js';
import {
	type Consent,
	type GuardianState,
	type Peers,
	type Standing,
} from './guardian-state.js';
import {type TableEdit} from './table-edit.js';
import {maxLocalMs} from './timing.js';

/** The server answered a request for its state or an order. */
export type AnswerEvent = {
	readonly kind: 'answer';
	readonly order: Order | undefined;
	/** Whether the order was carried out. */
	readonly taken: boolean;
	readonly sentAt: Millis;
	readonly now: Millis;
	readonly state: ServerState;
};

/** Another daemon released the server. */
export type ConsentEvent = {
	readonly kind: 'consent';
	readonly from: string;
	readonly consent: Consent;
};

/** Another daemon lent permission at `term`; the loan is counted from `askedAt`. */
export type LoanEvent = {
	readonly kind: 'loan';
	readonly term: number;
	readonly askedAt: Millis;
};

/** The edit is settled: it is in the store, or can never get there. */
export type SettledEvent = {
	readonly kind: 'settled';
	readonly edit: TableEdit;
};

export type GuardianEvent =
	| {
			readonly kind: 'standing';
			readonly standing: Standing;
			readonly now: Millis;
	  }
	| {readonly kind: 'store'; readonly up: boolean}
	| {readonly kind: 'peers'; readonly peers: Peers}
	| AnswerEvent
	| ConsentEvent
	| LoanEvent
	| SettledEvent;

/** The state after `event`. */
export function applyEvent(
	state: GuardianState,
	event: GuardianEvent,
): GuardianState {
	switch (event.kind) {
		case 'standing': {
			return withStanding(state, event.standing, event.now);
		}

		case 'store': {
			return {...state, storeUp: event.up};
		}

		case 'peers': {
			return {...state, peers: event.peers};
		}

		case 'answer': {
			return withAnswer(state, event);
		}

		case 'consent': {
			const consents = new Map(state.consents);
			return {...state, consents: consents.set(event.from, event.consent)};
		}

		case 'loan': {
			return withLoan(state, event);
		}

		case 'settled': {
			return event.edit === state.edit ? {...state, edit: undefined} : state;
		}
	}
}

// A pending change of the guard may already be in the store. Its new successor waits
// for the length of one loan from when it saw the change, but not for what the old
// successor lends later, so later loans are ignored.
function withLoan(
	state: GuardianState,
	{term, askedAt}: LoanEvent,
): GuardianState {
	const {edit, standing, timing} = state;
	return edit?.kind === 'guard' && !standing.checksFence
		? state
		: {...state, borrowed: {term, until: askedAt + timing.loanMs}};
}

function withStanding(
	state: GuardianState,
	standing: Standing,
	now: Millis,
): GuardianState {
	const {guard} = standing;
	if (guard?.term === state.standing.guard?.term) {
		return {...state, standing};
	}

	// The new guard's successor has lent nothing yet, but the guardian may still act
	// on the old successor's loan. Assume a full loan from now, so that the last order
	// under it has expired before a takeover.
	const lent = {
		term: guard?.term ?? 0,
		until: now + maxLocalMs(state.timing.loanMs, state.timing),
	};
	return {
		...state,
		standing,
		since: now,
		// Other daemons may have sent orders in between.
		withheld: new Map(),
		plan: undefined,
		succession: undefined,
		lent,
	};
}

function withAnswer(state: GuardianState, event: AnswerEvent): GuardianState {
	const {order, taken, sentAt, now, state: reported} = event;
	if (sentAt < (state.reading?.sentAt ?? -Infinity)) {
		return state;
	}

	const leaseLeftMs = Math.max(0, reported.leaseEnd - reported.now);
	const reportedLeaseOverAt =
		leaseLeftMs > 0 ? now + maxLocalMs(leaseLeftMs, state.timing) : -Infinity;
	const accepted =
		taken && order
			? {
					term: order.term,
					rank: order.rank,
					incarnation: order.incarnation,
				}
			: state.accepted;
	return {
		...state,
		reading: {state: reported, order, taken, sentAt, receivedAt: now},
		leaseOverAt: Math.max(state.leaseOverAt, reportedLeaseOverAt),
		accepted,
	};
}
