import test from 'ava';
import fc from 'fast-check';
import {Ledger, defaultLoanTerms, waterFill} from '../src/index.js';
import {rounding, vms} from './limits-fleet.js';
import {PlainLedger} from './plain-ledger.js';

test('an ask that arrives after its lender has taken its share back backs no grant', (t) => {
	const lender = {vm: 'vm-0', lent: 0.5, demand: 0, room: 0};
	const borrower = {vm: 'vm-1', lent: 0.5, demand: 1, room: 0};
	const ledger = new Ledger(defaultLoanTerms);
	ledger.ask(lender, 0);
	const late = ledger.ask({...lender, echo: 0}, 5000);
	const fresh = ledger.ask({...borrower, echo: 4999}, 5000);
	t.is(late.granted, 0);
	t.is(fresh.granted, 0.5);
});

const anyAsk = fc.record({
	vm: fc.constantFrom(...vms, 'vm-4', 'vm-5', 'vm-6'),
	ms: fc.oneof({weight: 9, arbitrary: fc.nat({max: 90})}, fc.nat({max: 1500})),
	age: fc.option(
		fc.oneof({weight: 9, arbitrary: fc.nat({max: 200})}, fc.nat({max: 1300})),
		{nil: undefined},
	),
	lent: fc.double({min: 0, max: 1 / 7, noNaN: true}),
	demand: fc.oneof(
		fc.constantFrom(0, 1),
		fc.double({min: 0, max: 0.3, noNaN: true}),
	),
	room: fc.integer({min: -8, max: 8}).map((part) => part / 64),
});

test('the sums that a ledger keeps give the same answers as a computation over all accounts', (t) => {
	let granted = 0;
	fc.assert(
		fc.property(fc.array(anyAsk, {minLength: 100, maxLength: 200}), (asks) => {
			const ledger = new Ledger(defaultLoanTerms);
			let plain = PlainLedger.empty;
			let now = 2000;
			for (const {vm, ms, age, ...rest} of asks) {
				now += ms;
				const ask = {vm, ...rest, ...(age !== undefined && {echo: now - age})};
				const answer = ledger.ask(ask, now);
				const next = plain.ask(ask, now, defaultLoanTerms);
				plain = next.ledger;
				granted += answer.granted > 0 ? 1 : 0;
				const grantedDifference = Math.abs(
					answer.granted - next.answer.granted,
				);
				const held = plain.outstanding(now);
				const heldDifference = Math.abs(ledger.outstanding(now) - held);
				const isRoomyEqual = answer.roomy === next.answer.roomy;
				if (
					grantedDifference > rounding ||
					heldDifference > rounding ||
					!isRoomyEqual
				) {
					throw new Error(JSON.stringify([answer, next.answer, held]));
				}
			}
		}),
		{numRuns: 500},
	);
	t.true(granted > 5000, `${granted} grants`);
});

test('max-min parts exceed no demand, and leave nothing over while a demand is unmet', (t) => {
	const amount = fc.double({min: 0, max: 10, noNaN: true});
	fc.assert(
		fc.property(amount, fc.array(amount, {minLength: 1}), (total, demands) => {
			const parts = waterFill(total, demands);
			let sum = 0;
			for (const [index, part] of parts.entries()) {
				t.true(part <= demands[index] + rounding);
				sum += part;
			}

			const largest = Math.max(...parts);
			t.true(sum <= total + 1e-6);
			for (const [index, part] of parts.entries()) {
				const short = part < demands[index] - 1e-6;
				t.true(!short || (part >= largest - 1e-6 && sum >= total - 1e-6));
			}
		}),
	);
});
