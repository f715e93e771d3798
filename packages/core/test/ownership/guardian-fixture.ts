/** States of a guardian during a planned move. */
import {
	initialGuardian,
	type Grant,
	type GuardianState,
	type Order,
} from '../../src/index.js';
import {timing} from './model-protocol.js';

/** The guardian of `a`, whose slice 0 is moving to `b`, after `a` has answered that it holds `held`. */
export function afterAnswer(held: readonly Grant[]): GuardianState {
	const order: Order = {
		guardian: 'd0',
		term: 1,
		rank: 0,
		incarnation: 'a.1',
		seq: 1,
		validUntil: 600,
		leaseEnd: 1000,
		grant: [],
		revoke: [],
	};
	const identity = {self: 'd0', service: 'ticket-desk', server: 'a', timing};
	const state = initialGuardian(identity);
	return {
		...state,
		standing: {
			...state.standing,
			guard: {term: 1, incarnation: 'a.1', guardian: 'd0', successor: 'd1'},
			rows: [
				{slice: 0, epoch: 3, standby: 'c', to: 'b'},
				{slice: 1, epoch: 2, standby: 'c'},
			],
		},
		seq: 1,
		withheld: new Map([[0, 0]]),
		reading: {
			state: {
				incarnation: 'a.1',
				now: 0,
				term: 1,
				rank: 0,
				leaseEnd: 1000,
				held,
			},
			order,
			taken: true,
			sentAt: 0,
			receivedAt: 0,
		},
	};
}

/** The same, but `a` checks no fence and the guardian has a loan until `until`. */
export function withoutFence(until: number): GuardianState {
	const state = afterAnswer([{slice: 1, epoch: 2}]);
	return {
		...state,
		standing: {...state.standing, checksFence: false},
		peers: {...state.peers, heardAt: new Map([['d1', 0]])},
		borrowed: {term: 1, until},
	};
}
