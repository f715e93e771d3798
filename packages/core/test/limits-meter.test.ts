import test from 'ava';
import fc from 'fast-check';
import {
	demandMeasured,
	fullMeter,
	offered,
	released,
	type Contract,
} from '../src/index.js';
import {rounding} from './limits-fleet.js';

const contract: Contract = {
	customer: 'tiktak-haus',
	services: ['kaha'],
	ratePerSecond: 100,
	burst: 20,
	concurrency: 10,
	weight: 1,
};

test('a meter admits no more than rate, burst and concurrency allow, for any sequence of shares', (t) => {
	const event = fc.record({
		ms: fc.nat({max: 50}),
		share: fc.double({min: 0, max: 1, noNaN: true}),
		ends: fc.boolean(),
	});
	fc.assert(
		fc.property(fc.array(event, {maxLength: 200}), (events) => {
			let meter = fullMeter(0);
			let now = 0;
			let admittedCount = 0;
			let allowed = contract.burst;
			for (const {ms, share, ends} of events) {
				now += ms;
				allowed += (ms / 1000) * contract.ratePerSecond;
				const next = offered(meter, contract, share, now);
				meter = next.meter;
				admittedCount += next.admitted.isRight() ? 1 : 0;
				t.true(
					meter.inFlight <= Math.max(1, share * contract.concurrency) ||
						!next.admitted.isRight(),
				);
				t.true(admittedCount <= allowed + rounding);
				next.admitted.ifLeft(({ran}) => {
					t.is(ran, 'not-run');
				});
				if (ends) {
					meter = released(meter);
				}
			}
		}),
	);
});

test('demand is measured as a fraction of the limit and falls slowly', (t) => {
	let {meter} = offered(fullMeter(0), contract, 1, 0);
	meter = demandMeasured(meter, contract, 10);
	t.true(meter.demand >= 0.125);
	const {demand} = demandMeasured(released(meter), contract, 1000);
	t.true(demand > 0 && demand <= meter.demand);
});
