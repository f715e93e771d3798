import test from 'ava';
import {plannedMove} from '../../src/ownership/guardian/planned-move.js';
import {applyEvent} from '../../src/index.js';
import {afterAnswer, withoutFence} from './guardian-fixture.js';

test('a slice moves once its server holds only what the table assigns to it', (t) => {
	const otherSlice = {slice: 1, epoch: 2};
	t.truthy(plannedMove(afterAnswer([otherSlice])));
	t.is(plannedMove(afterAnswer([otherSlice, {slice: 0, epoch: 3}])), undefined);
	// The row of a hot key that has since returned to slice 0.
	t.is(plannedMove(afterAnswer([otherSlice, {slice: 4, epoch: 7}])), undefined);
	// Slice 1 at an epoch from before one of its keys became hot.
	t.is(plannedMove(afterAnswer([{slice: 1, epoch: 1}])), undefined);
});

test('without a fence, only an answer from after every grant of a slice has expired lets the slice move', (t) => {
	const state = withoutFence(0);
	const {reading} = state;
	const answeredAt = (sentAt: number) => ({
		...state,
		reading: {...reading!, sentAt, receivedAt: sentAt},
	});
	// A grant sent before 0 may be accepted until 600 plus the margin.
	t.is(plannedMove(answeredAt(500)), undefined);
	t.truthy(plannedMove(answeredAt(650)));
});

test('a guardian that returns at a later term does not rely on an answer of the earlier one', (t) => {
	const state = afterAnswer([{slice: 1, epoch: 2}]);
	t.truthy(plannedMove(state));
	const {standing} = state;
	const guard = {...standing.guard!, term: 3};
	const returned = applyEvent(state, {
		kind: 'standing',
		standing: {...standing, guard},
		now: 10,
	});
	t.is(plannedMove(returned), undefined);
});
