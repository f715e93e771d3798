/** Changes that the planner makes to a table, with the reasons that are shown to operators. */

/** Why a slice is planned to move to another owner. */
export type MoveReason =
	'server-out' | 'domain-out' | 'server-removed' | 'balance' | 'key-cools';

/** Why a planned move is cancelled. */
export type WithdrawalReason =
	| 'target-out'
	| 'target-down'
	| 'target-removed'
	| 'already-there'
	| 'key-cools';

/** Why a row gets another standby. */
export type StandbyReason =
	'no-standby' | 'standby-unfit' | 'domain-rule' | 'spread';

/** Why a server gets a guard, or why its guard gets another daemon. */
export type GuardReason =
	| 'unguarded'
	| 'both-gone'
	| 'guardian-out'
	| 'successor-lost'
	| 'successor-out'
	| 'domain-rule'
	| 'spread';

/** A row's first owner. */
export type Assignment = {
	readonly kind: 'assign';
	readonly slice: number;
	readonly to: string;
};

/** A planned move of a slice, which its owner's guardian carries out. */
export type Move = {
	readonly kind: 'move';
	readonly slice: number;
	readonly from: string;
	readonly to: string;
	readonly reason: MoveReason;
};

/** A planned move cancelled before it was carried out. */
export type Withdrawal = {
	readonly kind: 'withdraw';
	readonly slice: number;
	readonly from: string;
	readonly to: string;
	readonly reason: WithdrawalReason;
};

/** A row's new standby; `sameDomain` is true if no fit server stands in another failure domain than the owner. */
export type StandbyChange = {
	readonly kind: 'standby';
	readonly slice: number;
	readonly from: string;
	readonly to: string;
	readonly reason: StandbyReason;
	readonly sameDomain: boolean;
};

/** A guard that the planner writes itself (`guard`), or a request to the guardian to hand over (`handover`). */
export type GuardChange = {
	readonly kind: 'guard' | 'handover';
	readonly server: string;
	readonly guardian: string;
	readonly successor: string;
	readonly reason: GuardReason;
	/** True unless server, guardian and successor stand in three different failure domains. */
	readonly sharesDomain: boolean;
};

/**
 * A hot key that is given a row of its own (`heat`), marked to return to its slice
 * (`cool`), or dropped before its row got an owner (`drop`).
 */
export type HotKeyChange = {
	readonly kind: 'heat' | 'cool' | 'drop';
	readonly key: string;
	/** Number of the key's own row. */
	readonly row: number;
	readonly slice: number;
	/** The key's load as a fraction of a server's even share. */
	readonly share: number;
};

/** A change to the table. */
export type Change =
	Assignment | Move | Withdrawal | StandbyChange | GuardChange | HotKeyChange;
