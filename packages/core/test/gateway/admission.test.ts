import test from 'ava';
import fc from 'fast-check';
import {
	admission,
	AdmissionQueue,
	ArrivalOrder,
	CallerCostOrder,
	CostPerWorkOrder,
	DeadlineOrder,
	ExpectedWork,
	leavesAt,
	PriorityRanks,
	QueueLimits,
	RetryPace,
	SeededRandom,
	type AdmissionAsk,
	type RouteRule,
	type WaitingRequest,
} from '../../src/index.js';
import {kinds, play, recordedLoad, type LoadPolicy} from './admission-load.js';

const anAsk = (overrides: Partial<AdmissionAsk> = {}): AdmissionAsk => ({
	rank: 0,
	urgentTargetMs: Infinity,
	due: 800,
	until: 1600,
	targetMs: 800,
	...overrides,
});
const aRoom = {load: 2, waitMs: 200, runMs: 160, queueLoad: 4};
const aWaiting = (overrides: Partial<WaitingRequest> = {}): WaitingRequest => ({
	id: 'q1',
	caller: 'c1',
	ask: anAsk(),
	runMs: 160,
	arrivedAt: 0,
	...overrides,
});
const aRule = (overrides: Partial<RouteRule>): RouteRule => ({
	route: 'r',
	host: 'h',
	pathPrefix: '/',
	repeatability: 'safe',
	timeoutMs: 1600,
	targetMs: 800,
	priority: 0,
	maxAttempts: 2,
	parts: [{service: 's', weight: 1}],
	...overrides,
});

test('a request is not sent where its wait and run end after its target latency, nor beyond what the queue bears', (t) => {
	const ask = anAsk();
	t.true(admission(ask, aRoom, 0, false).admitted);
	t.false(admission(ask, {...aRoom, waitMs: 500}, 0, false).admitted);
	t.false(admission(ask, aRoom, 400, false).admitted);
	t.false(admission(ask, {...aRoom, load: 4}, 0, false).admitted);
	t.true(admission(ask, {...aRoom, load: 0.9, waitMs: 0}, 400, false).admitted);
});

test('a request past its target latency gets a free slot only if nobody in time needs it, and nothing once its deadline is out of reach', (t) => {
	const free = {...aRoom, load: 0.5, waitMs: 0};
	t.true(admission(anAsk(), free, 700, false).admitted);
	t.false(admission(anAsk(), free, 700, true).admitted);
	t.false(admission(anAsk(), {...free, load: 1}, 700, false).admitted);
	t.false(admission(anAsk(), free, 1500, false).admitted);
});

test('a less urgent request has no more room than a more urgent one at any load, even if its target latency is longer', (t) => {
	const loads = fc.double({min: 0, max: 6, noNaN: true});
	fc.assert(
		fc.property(loads, fc.nat(5), fc.integer({min: 801}), (load, rank, due) => {
			const room = {...aRoom, load, waitMs: load * 50};
			const urgent = admission(anAsk({rank}), room, 0, false);
			const less = anAsk({
				rank: rank + 1,
				urgentTargetMs: 800,
				due,
				until: due,
			});
			t.true(urgent.admitted || !admission(less, room, 0, false).admitted);
		}),
	);
});

test('unusual priorities rank by their order, and a service whose routes state neither priority nor target latency has none', (t) => {
	const last = Number.MAX_SAFE_INTEGER;
	const ranks = new PriorityRanks([
		aRule({priority: 900, targetMs: 500}),
		aRule({priority: 7, targetMs: 300}),
		aRule({priority: 7, targetMs: 400}),
		aRule({
			priority: last,
			targetMs: 1600,
			parts: [{service: 'unstated', weight: 1}],
		}),
	]);
	t.deepEqual(ranks.of('s', 0), {rank: 0, urgentTargetMs: Infinity});
	t.deepEqual(ranks.of('s', 900), {rank: 1, urgentTargetMs: 300});
	t.deepEqual(ranks.of('s', last), {rank: 2, urgentTargetMs: 300});
	t.true(ranks.isStated('s'));
	t.false(ranks.isStated('unstated'));
});

test('the work of each route is learnt by itself, and false readings are ignored', (t) => {
	const work = new ExpectedWork();
	const short = {service: 's', route: 'short', targetMs: 500};
	const long = {service: 's', route: 'long', targetMs: 500};
	t.is(work.expectedRun(short), 100);
	for (let reading = 0; reading < 200; reading++) {
		work.ran('s', 'short', 100);
		work.ran('s', 'long', 300);
	}

	work.ran('s', 'short', Number.NaN);
	work.ran('s', 'short', 0);
	t.is(work.expectedRun(short), 100);
	t.is(work.expectedRun(long), 300);
	const slow = work.expectedRun(short, 400);
	t.true(slow > 150 && slow < 250, `${slow}`);
	t.is(work.expectedRun(short, 1e9), 400);
});

test('a retried request is recognized by the time its caller has left, and callers with other deadlines are not', (t) => {
	const work = new ExpectedWork();
	const route = {service: 's', route: 'r'};
	t.is(work.elapsed(route, 1500, 0), 0);
	t.is(work.elapsed(route, 1100, 400), 400);
	t.is(work.elapsed(route, 900, 30_000), 600);
	t.is(work.elapsed(route, 900, 45_000), 0);
});

test('the bound of a server falls below the load at which it declined, and rises again to the highest', (t) => {
	const limits = new QueueLimits();
	limits.declined('s1', 3, 0);
	t.true(limits.limit('s1', 0) < 3);
	t.is(limits.limit('s2', 0), 4);
	for (let declines = 0; declines < 50; declines++) {
		limits.declined('s1', 100, 0);
	}

	t.is(limits.limit('s1', 0), 1.5);
	t.is(limits.limit('s1', 10_000), 4);
});

test('callers that are refused in one moment return spread, within the time they honour, and in time if they can', (t) => {
	const pace = new RetryPace(new SeededRandom(3));
	const prospect = {waitMs: 100, intervalMs: 50, runMs: 160};
	const ask = anAsk();
	const pauses = Array.from({length: 40}, () =>
		pace.retryAfter('q', ask, prospect, 0),
	);
	t.true(pauses.every((ms) => ms > 0 && ms <= 1600 / 3 && ms + 160 <= 800));
	for (let from = 0; from < 540; from += 60) {
		const count = pauses.filter((ms) => ms >= from && ms < from + 60).length;
		t.true(count <= 16, `${count} of 40 return within 60 ms`);
	}

	const late = pace.retryAfter('q', ask, prospect, 1595);
	t.true(late >= 0 && late <= 30);
});

test('a request without a prospect leaves within an eighth of its target latency, and none stays past three quarters of its time', (t) => {
	t.is(leavesAt(aWaiting(), false), 100);
	t.is(leavesAt(aWaiting(), true), 400);
	const retried = aWaiting({arrivedAt: 1000});
	t.true(leavesAt(retried, true) <= 1200);
	const queue = new AdmissionQueue<WaitingRequest>(new CallerCostOrder());
	const late = aWaiting({id: 'late', arrivedAt: 650});
	queue.add(late, 650);
	t.deepEqual(
		queue.expired(700, () => true),
		[],
	);
	queue.add(aWaiting({ask: anAsk({due: 1500}), arrivedAt: 700}), 700);
	t.deepEqual(
		queue.expired(700, () => true),
		[late],
	);
});

test('a retried request is not put behind new ones of its kind, and one past its target latency is', (t) => {
	const queue = new AdmissionQueue<WaitingRequest>(new CallerCostOrder());
	const due = {fresh: 1100, retried: 800, late: 350};
	for (const [id, at] of Object.entries(due)) {
		queue.add(aWaiting({id, ask: anAsk({due: at}), arrivedAt: 300}), 300);
	}

	const order = queue.inOrder(300).map(({id}) => id);
	t.deepEqual(order, ['retried', 'fresh', 'late']);
});

test('one caller does not take the places of others in a full queue', (t) => {
	const queue = new AdmissionQueue<WaitingRequest>(new CallerCostOrder(), 8);
	for (let index = 0; index < 7; index++) {
		queue.add(aWaiting({id: `many-${index}`, caller: 'many'}), 0);
	}

	const other = {caller: 'other', ask: anAsk({rank: 3, due: 900})};
	t.is(queue.add(aWaiting({id: 'o1', ...other}), 0), undefined);
	t.is(queue.add(aWaiting({id: 'o2', ...other}), 0)?.caller, 'many');
	t.is(queue.add(aWaiting({id: 'many-7', caller: 'many'}), 0)?.caller, 'many');
});

const waitingSpec = fc.record({
	caller: fc.constantFrom('a', 'b', 'c'),
	rank: fc.nat(4),
	due: fc.integer({min: -500, max: 3000}),
	runMs: fc.integer({min: 1, max: 500}),
});

test('the queue never exceeds its bound, and each request is in it, served or evicted, exactly once', (t) => {
	const steps = fc.array(fc.tuple(fc.boolean(), waitingSpec), {maxLength: 80});
	fc.assert(
		fc.property(steps, fc.integer({min: 1, max: 10}), (plan, maxLen) => {
			const queue = new AdmissionQueue<WaitingRequest>(
				new CallerCostOrder(),
				maxLen,
			);
			const left: string[] = [];
			let added = 0;
			for (const [isServed, {caller, rank, due, runMs}] of plan) {
				const [first] = queue.inOrder(0);
				if (isServed && first) {
					queue.serve(first);
					left.push(first.id);
				}

				const ask = anAsk({rank, due});
				const id = `${added++}`;
				const evicted = queue.add(aWaiting({id, caller, ask, runMs}), 0);
				left.push(...(evicted ? [evicted.id] : []));
				t.true(queue.length <= maxLen);
			}

			const all = [...left, ...queue.inOrder(0).map(({id}) => id)];
			t.is(all.length, added);
			t.is(new Set(all).size, added);
		}),
	);
});

test('no request in time starves behind a stream of more urgent ones', (t) => {
	const rest = fc.array(waitingSpec, {maxLength: 6});
	fc.assert(
		fc.property(rest, fc.integer({min: 1, max: 9}), (others, rank) => {
			const queue = new AdmissionQueue<WaitingRequest>(new CallerCostOrder());
			const oldest = aWaiting({id: 'old', ask: anAsk({rank})});
			queue.add(oldest, 0);
			for (const [index, {due, runMs}] of others.entries()) {
				queue.add(aWaiting({id: `${index}`, runMs, ask: anAsk({due})}), 0);
			}

			let served = 0;
			while (queue.inOrder(0).includes(oldest)) {
				queue.serve(queue.inOrder(0)[0]);
				const ask = anAsk({due: 5000, until: 9000});
				queue.add(aWaiting({id: `new-${served++}`, ask}), 0);
				t.true(served <= 32 * (others.length + 2));
			}
		}),
	);
});

const policies: Readonly<Record<string, LoadPolicy>> = {
	former: {order: undefined, bounded: false},
	arrival: {order: new ArrivalOrder(), bounded: false},
	deadline: {order: new DeadlineOrder(), bounded: false},
	costPerWork: {order: new CostPerWorkOrder(), bounded: false},
	present: {order: new CallerCostOrder(), bounded: true},
};

for (const scale of [1, 1.3]) {
	test(`callers of a hot owner get more from the present policy than from the others, and no kind less than one of lower priority, at ${scale} times the load`, (t) => {
		const arrivals = recordedLoad(1, scale);
		const values = new Map<string, number>();
		for (const [name, policy] of Object.entries(policies)) {
			const tallies = play(arrivals, policy);
			let value = 0;
			for (const [kind, tally] of tallies) {
				value += tally.value;
				t.log(scale, name, kind, JSON.stringify(tally));
			}

			values.set(name, value);
		}

		const {present = 0, ...others} = Object.fromEntries(values);
		t.true(Object.values(others).every((value) => value < present));
		const shares = kinds.map(({name}) => {
			const {inTime, late, refused} = play(arrivals, policies.present).get(
				name,
			)!;
			return (inTime + late) / (inTime + late + refused);
		});
		t.true(shares[0] > shares[1] && shares[1] > shares[2] - 0.05);
		t.true(shares.every((share) => share > 0.4));
	});
}
