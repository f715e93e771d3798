/** What a guardian still does for a server that checks no fence while its change of the guard is pending. */
import test from 'ava';
import {
	applyEvent,
	decide,
	type GuardianState,
	type TableEdit,
} from '../../src/index.js';
import {withoutFence} from './guardian-fixture.js';
import {timing} from './model-protocol.js';

function withGuardEdit(
	state: GuardianState,
	guardian: string,
	successor: string,
) {
	const guard = {...state.standing.guard!, term: 2, guardian, successor};
	const edit: TableEdit = {kind: 'guard', server: 'a', term: 1, guard};
	return {...state, edit};
}

function actionKinds(state: GuardianState, now: number): readonly string[] {
	return decide(state, now).actions.map(({kind}) => kind);
}

test('orders are sent while the loan lasts', (t) => {
	t.deepEqual(actionKinds(withGuardEdit(withoutFence(600), 'd0', 'd2'), 300), [
		'order',
	]);
});

test('a loan is not extended by the old successor while the new one may wait for its end', (t) => {
	const state = withGuardEdit(withoutFence(300), 'd0', 'd2');
	const withLoan = applyEvent(state, {kind: 'loan', term: 1, askedAt: 300});
	t.deepEqual(actionKinds(withLoan, 350), ['read']);
	const settled = applyEvent(withLoan, {kind: 'settled', edit: withLoan.edit!});
	const withLaterLoan = applyEvent(settled, {
		kind: 'loan',
		term: 1,
		askedAt: 300,
	});
	t.is(withLaterLoan.borrowed.until, 300 + timing.loanMs);
});

test('no order is sent once another daemon may be guardian, whether the store is up or down', (t) => {
	const state = withGuardEdit(withoutFence(600), 'd2', 'd1');
	for (const storeUp of [true, false]) {
		t.deepEqual(actionKinds({...state, storeUp}, 300), []);
	}
});
