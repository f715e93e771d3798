/**
 * What one daemon knows and has promised about one backend server, whether it is the
 * server's guardian, its successor or neither. Times are readings of the daemon's
 * own clock unless stated otherwise.
 */
import {type Millis} from '../../time/clock.js';
import {type Grant, type Order, type ServerState} from '../order.js';
import {type HotChange} from '../hot-keys.js';
import {type Guard, type SliceRow} from '../slice-table.js';
import {type Succession} from '../succession.js';
import {type TableEdit} from './table-edit.js';
import {type Timing} from './timing.js';

/** A row that the server owns in the table in force. */
export type OwnedRow = Grant & Pick<SliceRow, 'standby' | 'to'>;

/** The server's last answer. */
export type Reading = {
	readonly state: ServerState;
	/** The order it answers; undefined if the daemon only asked for the server's state. */
	readonly order: Order | undefined;
	/** Whether the server carried out that order. */
	readonly taken: boolean;
	readonly sentAt: Millis;
	readonly receivedAt: Millis;
};

/**
 * The new owners of the server's slices if it is lost at `term`. Fixed once chosen, so
 * that every daemon that acts on it makes the same change.
 */
export type Plan = {
	readonly term: number;
	readonly rows: Succession['rows'];
};

/** This daemon's promise to send the server no orders at any term up to `term`. */
export type Release = {
	readonly term: number;
	readonly to: string;
	/** The owners that the asker may choose; once the asker is gone, only this plan may be carried out. */
	readonly plan: Succession['rows'];
};

/** A release received from another daemon. */
export type Consent = {
	readonly term: number;
	/** The time after which no lease granted by that daemon can still run. */
	readonly leaseOverAt: Millis;
	/** The version of the table that the daemon had; the consent does not count on an older table. */
	readonly tableVersion: number;
};

/** What this daemon knows of the others that matters for the server. */
export type Peers = {
	/** When a message from each was last received. */
	readonly heardAt: ReadonlyMap<string, Millis>;
	/** When each was proved gone. */
	readonly goneAt: ReadonlyMap<string, Millis>;
	/** Who may become successor, best first. */
	readonly candidates: readonly string[];
	/** Servers that may take over slices whose rows have no standby. */
	readonly servers: readonly string[];
};

/** A successor's permission to send orders at one term to a server that checks no fence. */
export type Loan = {readonly term: number; readonly until: Millis};

/** What the table in force says about this server. */
export type Standing = {
	readonly guard: Guard | undefined;
	readonly rows: readonly OwnedRow[];
	/** Hot keys of its slices that should get or give up rows of their own. */
	readonly hot: readonly HotChange[];
	readonly tableVersion: number;
	readonly checksFence: boolean;
	/** Servers of the service that the table marks as lost. */
	readonly lost: ReadonlySet<string>;
};

export type GuardianState = {
	readonly self: string;
	readonly service: string;
	readonly server: string;
	readonly timing: Timing;
	readonly standing: Standing;
	/** When the guard in force was first seen. */
	readonly since: Millis;
	readonly storeUp: boolean;
	readonly peers: Peers;
	readonly reading: Reading | undefined;
	/** When the last message to the server was sent. */
	readonly sentAt: Millis;
	/** When releases were last requested. */
	readonly askedAt: Millis;
	/** The sequence number of the last order. */
	readonly seq: number;
	/** The time after which no lease that this daemon granted, or the server reported, can still run. */
	readonly leaseOverAt: Millis;
	/** The term, rank and server run of this daemon's last order that the server carried out. */
	readonly accepted: Pick<Order, 'term' | 'rank' | 'incarnation'> | undefined;
	readonly released: Release | undefined;
	readonly consents: ReadonlyMap<string, Consent>;
	/** The term at which this daemon took over by rank; 0 for none. */
	readonly rankTerm: number;
	/** The new owners if the server is lost, fixed when a release is first requested. */
	readonly plan: Plan | undefined;
	/** The succession that this daemon has published at the term in force. */
	readonly succession: Succession | undefined;
	/** The edit that is pending: it may still be written to the store. */
	readonly edit: TableEdit | undefined;
	/** Slices left out of orders for a planned move, and since when without interruption. */
	readonly withheld: ReadonlyMap<number, Millis>;
	readonly borrowed: Loan;
	readonly lent: Loan;
};

const noLoan: Loan = {term: 0, until: -Infinity};

/** A daemon that knows nothing of the server yet. */
export function initialGuardian(
	own: Pick<GuardianState, 'self' | 'service' | 'server' | 'timing'>,
): GuardianState {
	return {
		...own,
		standing: {
			guard: undefined,
			rows: [],
			hot: [],
			tableVersion: 0,
			checksFence: true,
			lost: new Set(),
		},
		since: 0,
		storeUp: false,
		peers: {heardAt: new Map(), goneAt: new Map(), candidates: [], servers: []},
		reading: undefined,
		sentAt: -Infinity,
		askedAt: -Infinity,
		seq: 0,
		leaseOverAt: -Infinity,
		accepted: undefined,
		released: undefined,
		consents: new Map(),
		rankTerm: 0,
		plan: undefined,
		succession: undefined,
		edit: undefined,
		withheld: new Map(),
		borrowed: noLoan,
		lent: noLoan,
	};
}
