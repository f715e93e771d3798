/** What happens in a simulation: single faults, and the condition of the network throughout. */
export type Fault =
	| {readonly kind: 'pause'; readonly daemon: number; readonly ms: number}
	| {readonly kind: 'kill'; readonly daemon: number}
	| {readonly kind: 'kill-server'; readonly server: number}
	| {readonly kind: 'restart-server'; readonly server: number}
	| {
			readonly kind: 'cut';
			readonly from: string;
			readonly to: string;
			readonly ms: number;
	  }
	| {readonly kind: 'outage'; readonly ms: number}
	| {readonly kind: 'lose-answers'; readonly ms: number}
	| {readonly kind: 'move'; readonly slice: number; readonly to: number}
	/** The planner plans to hand a server over to two other daemons. */
	| {readonly kind: 'handover'; readonly server: number}
	| {readonly kind: 'heat'; readonly key: string}
	/** The planner withdraws a hot key before it has a row of its own. */
	| {readonly kind: 'drop'; readonly key: string}
	| {readonly kind: 'cool'; readonly key: string}
	| {readonly kind: 'wait'; readonly ms: number};

export type Conditions = {
	readonly seed: number;
	readonly checksFence: boolean;
	/** Longest delay of a message, in ms. */
	readonly delayMs: number;
	/** How many of 100 messages are lost, and how many are sent twice. */
	readonly lost: number;
	readonly doubled: number;
	/** How many of 100 messages may take twenty times as long; 5 if absent. */
	readonly late?: number;
};
