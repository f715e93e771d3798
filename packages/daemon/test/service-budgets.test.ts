import test from 'ava';
import {ServiceBudgets} from '../src/requests/service-budgets.js';
import {ManualClock} from './timers.js';

const bounds = {share: 0.5, slack: 2, windowMs: 10_000};

test('no service can use retries earned by the successes of another one', (t) => {
	const budgets = new ServiceBudgets(bounds, new ManualClock());
	const failing = budgets.of('failing');
	failing.recordRetry();
	failing.recordRetry();
	for (let count = 0; count < 100; count++) {
		budgets.of('sound').recordSuccess();
	}

	t.false(budgets.of('failing').hasRetry);
	t.true(budgets.of('sound').hasRetry);
});

test('a lower slack applies to the budgets of all services, new ones included', (t) => {
	const budgets = new ServiceBudgets({...bounds, slack: 4}, new ManualClock());
	const known = budgets.of('known');
	budgets.setSlack(1);
	for (const budget of [known, budgets.of('new')]) {
		t.true(budget.hasRetry);
		budget.recordRetry();
		t.false(budget.hasRetry);
	}
});

test('retries are allowed again once the window has passed', async (t) => {
	const clock = new ManualClock();
	const budget = new ServiceBudgets({...bounds, slack: 1}, clock).of('s');
	budget.recordRetry();
	await clock.advance(8000);
	t.false(budget.hasRetry);
	await clock.advance(3000);
	t.true(budget.hasRetry);
});
