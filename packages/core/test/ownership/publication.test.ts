import test from 'ava';
import {initialGuardian} from '../../src/index.js';
import {publicationStep} from '../../src/ownership/guardian/loss.js';
import {timing} from './model-protocol.js';

test('a succession leaves out rows that have changed since its plan was fixed', (t) => {
	const identity = {self: 'd0', service: 'ticket-desk', server: 'a', timing};
	const state = initialGuardian(identity);
	const plan = {
		term: 1,
		rows: [
			{slice: 0, owner: 'b', epoch: 2},
			{slice: 1, owner: 'c', epoch: 2},
			{slice: 2, owner: 'c', epoch: 2},
		],
	};
	const {actions} = publicationStep({
		...state,
		plan,
		standing: {
			...state.standing,
			guard: {term: 1, incarnation: 'a.1', guardian: 'd0', successor: 'd1'},
			// The epoch of slice 1 rose for a hot key, and slice 2 has moved away.
			rows: [
				{slice: 0, epoch: 1, standby: 'b'},
				{slice: 1, epoch: 2, standby: 'c'},
			],
		},
	});
	const rows = actions.flatMap((action) =>
		action.kind === 'publish' ? action.succession.rows : [],
	);
	t.deepEqual(rows, [plan.rows[0]]);
});
