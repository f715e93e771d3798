import test from 'ava';
import {withNewFences, type RangeTable} from '@kingcuproute/core';
import {rangeTableSpec, type StoredObject} from '@kingcuproute/platform';
import {KeptTable} from '../src/gateway/kept-table.js';
import {Log} from '../src/log/log.js';
import {MemoryStore} from './memory-store.js';
import {RunClock} from './run-clock.js';
import {ManualClock} from './timers.js';

const log = Log.to({level: 'silent', routingSample: 1}, {});

function storedTable(table: RangeTable, revision: number): StoredObject {
	const spec = rangeTableSpec(table);
	return {name: 's', revision, spec, status: undefined, rest: {}};
}

test('a late answer to a write does not bring back an older table', async (t) => {
	const manualClock = new ManualClock();
	const clock = new RunClock(manualClock);
	const shared = new MemoryStore('', clock);
	const store = new MemoryStore('x', clock, shared);
	const table = new KeptTable({
		service: 's',
		lease: {isHeld: true},
		store,
		log,
	});
	shared.answerMs = 1000;
	const first = withNewFences(table.value);
	const written = table.write(first);
	await manualClock.advance(500);
	const newer = withNewFences(first);
	table.update(storedTable(newer, 9));
	await manualClock.advance(1000);
	t.false(await written);
	t.true(table.equals(newer));
});
