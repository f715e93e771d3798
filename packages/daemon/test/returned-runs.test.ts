import test from 'ava';
import {initialAccount, Membership, type Member} from '@kingcuproute/core';
import {ReturnedRuns} from '../src/fleet/returned-runs.js';

function memberOf(vm: string): Member {
	const address = '127.0.0.1:1';
	return {id: `${vm}.1`, vm, failureDomain: 'fd-a', address};
}

test('a run has returned once it is a member again after it was not', (t) => {
	const [first, second] = [memberOf('vm-1'), memberOf('vm-2')];
	const membership = Membership.empty.with([
		initialAccount(first),
		initialAccount(second),
	]);
	const runs = new ReturnedRuns();
	t.deepEqual(runs.update([first], membership), []);
	t.deepEqual(runs.update([first, second], membership), [], 'new');
	t.deepEqual(runs.update([first], membership), []);
	t.deepEqual(runs.update([first, second], membership), [second]);
	t.deepEqual(runs.update([first, second], membership), [], 'still there');
});

test('a run that is proved gone does not count as returned', (t) => {
	const [first, second] = [memberOf('vm-1'), memberOf('vm-2')];
	const membership = Membership.empty.with([
		initialAccount(first),
		initialAccount(second),
	]);
	const runs = new ReturnedRuns();
	runs.update([first, second], membership);
	runs.update([first], membership.with([], [second.id]));
	t.deepEqual(runs.update([first, second], membership), []);
});
