import test from 'ava';
import {ServiceBudgets} from '../src/requests/service-budgets.js';

test('no service can use retries earned by the successes of another one', (t) => {
	const budgets = new ServiceBudgets({share: 0.5, burst: 2});
	const failing = budgets.of('failing');
	failing.spend();
	failing.spend();
	for (let count = 0; count < 100; count++) {
		budgets.of('sound').earn();
	}

	t.false(budgets.of('failing').hasOne);
	t.true(budgets.of('sound').hasOne);
});

test('a lower burst applies to the budgets of all services, new ones included', (t) => {
	const budgets = new ServiceBudgets({share: 0.5, burst: 4});
	const known = budgets.of('known');
	budgets.limit(1);
	for (const budget of [known, budgets.of('new')]) {
		t.true(budget.hasOne);
		budget.spend();
		t.false(budget.hasOne);
	}
});
