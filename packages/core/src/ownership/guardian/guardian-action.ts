/** The actions that a guardian decides on, for its daemon to carry out. */
import {type Order} from '../order.js';
import {type Succession} from '../succession.js';
import {type GuardianState} from './guardian-state.js';
import {type TableEdit} from './table-edit.js';

export type GuardianAction =
	/** Ask the server for its state. */
	| {readonly kind: 'read'}
	| {readonly kind: 'order'; readonly order: Order}
	/** Ask a daemon to release the server up to `term`. */
	| {
			readonly kind: 'ask-release';
			readonly of: string;
			readonly term: number;
			readonly plan: Succession['rows'];
	  }
	| {readonly kind: 'edit'; readonly edit: TableEdit; readonly reason: string}
	| {readonly kind: 'publish'; readonly succession: Succession}
	/** From now on, this daemon sends the server orders at rank 1. */
	| {readonly kind: 'rank-takeover'; readonly term: number};

/** The next state, and the actions to carry out, in order. */
export type Step = {
	readonly state: GuardianState;
	readonly actions: readonly GuardianAction[];
};
