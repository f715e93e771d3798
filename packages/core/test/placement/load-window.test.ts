import test from 'ava';
import {heaviestSlicesReport, LoadWindow} from '../../src/index.js';

test('a report lists the heaviest slices, and the window spreads the rest evenly', (t) => {
	const counts = new Map([
		[0, 50],
		[1, 4],
		[2, 6],
	]);
	const report = heaviestSlicesReport(counts, 1);
	const loads = LoadWindow.startingAt(0).withReport(report, 6, 0).loads(0);
	t.deepEqual([...loads.values()], [50, 2, 2, 2, 2, 2]);
});

test('old counts decay, and a window is warm only after some time', (t) => {
	const window = LoadWindow.startingAt(0).withReport(
		heaviestSlicesReport(new Map([[0, 100]]), 8),
		4,
		0,
	);
	t.true(window.loads(20_000).get(0)! < 40);
	t.is(window.loads(1e9).size, 0);
	t.false(window.isWarm(5000));
	t.true(window.isWarm(10_000));
});
