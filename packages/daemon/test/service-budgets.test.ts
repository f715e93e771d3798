import test from 'ava';
import {ServiceBudgets} from '../src/requests/service-budgets.js';

test('no service can use retries earned by the successes of another one', (t) => {
	const budgets = new ServiceBudgets({share: 0.5, burst: 2});
	const failing = budgets.of('failing');
	failing.recordRetry();
	failing.recordRetry();
	for (let count = 0; count < 100; count++) {
		budgets.of('sound').recordSuccess();
	}

	t.false(budgets.of('failing').hasRetry);
	t.true(budgets.of('sound').hasRetry);
});

test('a lower burst applies to the budgets of all services, new ones included', (t) => {
	const budgets = new ServiceBudgets({share: 0.5, burst: 4});
	const known = budgets.of('known');
	budgets.setBurst(1);
	for (const budget of [known, budgets.of('new')]) {
		t.true(budget.hasRetry);
		budget.recordRetry();
		t.false(budget.hasRetry);
	}
});
