import test from 'ava';
import fc from 'fast-check';
import {LapseHold, StoreAbsence, type ListedServer} from '../../src/index.js';
import {aServer} from './a-server.js';

function server(index: number, draining = false): ListedServer {
	const address = `10.0.0.${index}:80`;
	return aServer(`s${index}`, {address, draining});
}

const ten = Array.from({length: 10}, (_, index) => server(index));
const never = -Infinity;
/** The interval at which servers renew their entries. */
const reportMs = 870;

function names(servers: readonly ListedServer[]): string {
	return servers.map(({backendServer}) => backendServer).join(' ');
}

test('a server whose entry vanishes while the store answers is dropped at once', (t) => {
	const hold = new LapseHold();
	hold.update(ten, never, 0);
	t.is(hold.update(ten.slice(1), never, 5000).length, 9);
	t.is(hold.until, undefined);
});

test('servers whose entries vanish as the store returns are kept for two seconds, or until the entries are back', (t) => {
	const hold = new LapseHold();
	hold.update(ten, never, 0);
	t.is(hold.update(ten.slice(2), 4800, 5000).length, 10);
	t.is(hold.until, 6800);
	t.is(hold.update(ten.slice(1), 4800, 5500).length, 10);
	t.deepEqual(hold.held, ['s0']);
	t.is(names(hold.servers(6799)).split(' ').length, 10);
	t.is(names(hold.servers(6800)), names(ten.slice(1)));
	t.is(hold.until, undefined);
});

test('servers whose entries vanish together are kept if the store was away, even if no call failed', (t) => {
	const hold = new LapseHold();
	const absence = new StoreAbsence(reportMs);
	absence.answered(0);
	hold.update(ten, absence.returnedAt, 0);
	absence.answered(5000);
	t.is(hold.update(ten.slice(4), absence.returnedAt, 5000).length, 10);
	t.is(hold.servers(7000).length, 6);
});

// Any four of ten used to count as lapsed, and got requests for longer than allowed.
test('servers that leave together without a report are dropped at once while the store answers', (t) => {
	const hold = new LapseHold();
	const absence = new StoreAbsence(reportMs);
	for (let now = 0; now <= 5000; now += 2 * reportMs - 1) {
		absence.answered(now);
		hold.update(ten, absence.returnedAt, now);
	}

	t.is(hold.update(ten.slice(4), absence.returnedAt, 5000).length, 6);
	t.is(hold.until, undefined);
});

test('only a pause in which entries may lapse counts as an absence of the store', (t) => {
	fc.assert(
		fc.property(
			fc.array(fc.integer({min: 1, max: 4 * reportMs}), {minLength: 1}),
			(pauses) => {
				const absence = new StoreAbsence(reportMs);
				let now = 0;
				let returnedAt = -Infinity;
				absence.answered(now);
				for (const pauseMs of pauses) {
					now += pauseMs;
					absence.answered(now);
					returnedAt = pauseMs >= 2 * reportMs ? now : returnedAt;
					t.is(absence.returnedAt, returnedAt);
				}
			},
		),
	);
});

test('a draining server, or one whose address another server has, is not kept', (t) => {
	const hold = new LapseHold();
	hold.update([server(0, true), ...ten.slice(1)], never, 0);
	const other = {...server(1), backendServer: 'new'};
	const kept = hold.update([...ten.slice(2), other], 4900, 5000);
	t.is(names(kept), `${names(ten.slice(2))} new`);
});
