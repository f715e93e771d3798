import 'reflect-metadata';
import test from 'ava';
import {
	maxHeavyKeys,
	maxHotKeyLen,
	sliceOf,
	type Service,
} from '@kingcuproute/core';
import {keysPerReport} from '../src/placement/report-interval.js';
import {SliceLoad} from '../src/placement/slice-load.js';

const service: Service = {
	service: 'ticket-desk',
	slices: 16,
	slots: 3,
	connections: 130,
	checksFence: true,
	deadlineMs: 5000,
	slowStartMs: 0,
};

test('a key with its own row counts towards its slice, and a long key only towards its slice', (t) => {
	const load = new SliceLoad();
	const long = 'k'.repeat(maxHotKeyLen + 1);
	load.record(service, 'heirloom', 16);
	load.record(service, long, sliceOf(long, 16));
	const {slices, keys} = load.take('ticket-desk');
	t.is(slices.get(sliceOf('heirloom', 16)), 1);
	t.is(slices.get(sliceOf(long, 16)), 1);
	t.deepEqual([...keys], [['heirloom', 1]]);
	t.is(load.take('ticket-desk').slices.size, 0);
});

test('a heavy key is found among any number of others, in bounded memory', (t) => {
	const load = new SliceLoad();
	const others = 20 * maxHeavyKeys;
	for (let count = 0; count < others; count++) {
		load.record(service, `key-${count}`, count % 16);
		load.record(service, count % 100 === 0 ? 'hot' : `other-${count}`, 0);
	}

	const {keys} = load.take('ticket-desk');
	t.true(keys.size <= maxHeavyKeys);
	t.true(keys.get('hot')! > others / 200);
	t.is([...keys].sort(([, a], [, b]) => b - a)[0][0], 'hot');
});

test('reports name few keys where many daemons report, and as many as there are rows where few do', (t) => {
	t.is(keysPerReport(2000, 4400), 16);
	t.is(keysPerReport(2000, 24), 16);
	t.is(keysPerReport(2000, 2), 95);
});
