import test from 'ava';
import {ServerWarmth, type ListedServer} from '../../src/index.js';
import {aServer} from './a-server.js';

const warm = aServer('a');
const cold = aServer('a', {coldMs: 3000});

/** Beliefs that have seen `server` listed at 0. */
function listed(server: ListedServer): ServerWarmth {
	const warmth = new ServerWarmth();
	warmth.update([server], 0);
	return warmth;
}

test('while entries are current they say whether a server is cold', (t) => {
	const warmth = listed(warm);
	t.is(warmth.of(warm, true, 0), 'warm');
	t.is(warmth.of(warm, true, 1_000_000), 'warm');
	t.deepEqual(warmth.update([cold], 5000), [{server: cold, isCold: true}]);
	t.is(warmth.of(cold, true, 5000), 'cold');
	t.is(warmth.of(cold, true, 60_000), 'cold');
	t.deepEqual(warmth.update([warm], 60_000), [{server: warm, isCold: false}]);
	t.is(warmth.of(warm, true, 60_000), 'warm');
});

test('without current entries a server has to be asked, and each answer counts for a short time', (t) => {
	const warmth = listed(warm);
	t.is(warmth.of(warm, false, 10), 'unknown');
	warmth.answered(warm, 0, 20);
	t.is(warmth.of(warm, false, 20), 'warm');
	t.is(warmth.of(warm, false, 119), 'warm');
	t.is(warmth.of(warm, false, 120), 'unknown');
	warmth.answered(warm, 2500, 130);
	t.is(warmth.of(warm, false, 2629), 'cold');
	t.is(warmth.of(warm, false, 2630), 'unknown');
});

test('a server that says it is cold counts as cold though its current entry says that it is warm', (t) => {
	const warmth = listed(warm);
	warmth.answered(warm, 2500, 0);
	warmth.update([warm], 100);
	t.is(warmth.of(warm, true, 2499), 'cold');
	t.is(warmth.of(warm, true, 2500), 'warm');
});

test('an outdated entry keeps a server cold no longer than it says', (t) => {
	const warmth = listed(cold);
	t.is(warmth.of(cold, false, 2999), 'cold');
	t.is(warmth.of(cold, false, 3000), 'unknown');
});

test('a suspected server whose entry is current has to be asked once, until its entry would say that it is cold', (t) => {
	const warmth = listed(warm);
	warmth.suspect(warm, 1000);
	t.is(warmth.of(warm, true, 1000), 'unknown');
	warmth.answered(warm, 0, 1010);
	t.is(warmth.of(warm, true, 2000), 'warm');
	warmth.suspect(warm, 5000);
	t.is(warmth.of(warm, true, 7999), 'unknown');
	t.is(warmth.of(warm, true, 8000), 'warm');
	warmth.suspect(warm, 9000);
	warmth.unanswered(warm, 9300);
	t.is(warmth.of(warm, true, 9300), 'warm', 'its entry counts');
	warmth.suspect(warm, 9400);
	t.is(warmth.of(warm, true, 9400), 'warm', 'it has been asked shortly before');
});

test('a server that answers no check counts as cold for a while, and is asked again', (t) => {
	const warmth = listed(warm);
	warmth.unanswered(warm, 300);
	t.is(warmth.of(warm, false, 799), 'cold');
	t.is(warmth.of(warm, false, 800), 'unknown');
	t.is(warmth.of(warm, true, 300), 'warm', 'its entry is current again');
});

test('another run under the same id starts without the beliefs of the former one', (t) => {
	const warmth = listed(warm);
	warmth.answered(warm, 2500, 0);
	const next = aServer('a', {startedAt: 2});
	warmth.update([next], 10);
	t.is(warmth.of(next, true, 20), 'warm');
	warmth.update([warm], 30);
	t.is(warmth.of(warm, true, 40), 'warm');
});

test('a server that returns twice in a short time has to be asked each time, whatever it answered before', (t) => {
	const warmth = listed(warm);
	warmth.returned(warm, 1000);
	t.is(warmth.of(warm, true, 1000), 'unknown');
	warmth.answered(warm, 0, 1010);
	t.is(warmth.of(warm, true, 1020), 'warm');
	warmth.returned(warm, 1050);
	t.is(warmth.of(warm, true, 1050), 'unknown');
	t.is(warmth.of(warm, false, 1050), 'unknown');
	warmth.answered(warm, 2500, 1060);
	t.is(warmth.of(warm, true, 2000), 'cold');
});

test('the time for which a server is still cold is the longer of its entry and its answer', (t) => {
	const warmth = listed(cold);
	t.is(warmth.coldLeftMs(cold, 0), 3000);
	t.is(warmth.coldLeftMs(cold, 2000), 1000);
	warmth.answered(cold, 2500, 2000);
	t.is(warmth.coldLeftMs(cold, 2000), 2500);
	t.is(warmth.coldLeftMs(cold, 5000), 0);
	t.is(listed(warm).coldLeftMs(warm, 0), 0);
});
