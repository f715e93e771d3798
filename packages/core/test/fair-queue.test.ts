import test from 'ava';
import fc from 'fast-check';
import {balancePolicy, FairQueue, Hedge, type QueueItem} from '../src/index.js';

function itemOf(customer: string, weight = 1): QueueItem {
	return {customer, weight, cost: 1, startBy: 1e9};
}

test('a customer that floods the queue neither evicts nor much delays requests of another customer', (t) => {
	const queue = new FairQueue(32);
	for (let at = 0; at < 500; at++) {
		queue.push(itemOf('flood'));
	}

	const quiet = [itemOf('quiet'), itemOf('quiet')];
	for (const item of quiet) {
		t.is(queue.push(item)?.customer, 'flood');
	}

	t.true(queue.inOrder().indexOf(quiet[1]) <= 4);
});

test('customers are served in proportion to their weights while both have requests queued', (t) => {
	fc.assert(
		fc.property(
			fc.integer({min: 1, max: 5}),
			fc.integer({min: 1, max: 5}),
			(a, b) => {
				const queue = new FairQueue(1000);
				for (let at = 0; at < 200; at++) {
					queue.push(at % 2 ? itemOf('a', a) : itemOf('b', b));
				}

				const count = (a + b) * 10;
				const first = queue.inOrder().slice(0, count);
				const ofA = first.filter(({customer}) => customer === 'a').length;
				t.true(Math.abs(ofA - a * 10) <= 2);
			},
		),
	);
});

test('hedges stay within the budget that answers refill', (t) => {
	const hedge = new Hedge(balancePolicy);
	let spent = 0;
	for (let at = 0; at < 10_000; at++) {
		hedge.addSample(at % 100);
		spent += hedge.spend() ? 1 : 0;
	}

	t.true(spent <= 10_000 * balancePolicy.hedgeShare);
	t.is(hedge.delay(), undefined);
});
