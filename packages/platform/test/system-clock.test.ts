import test from 'ava';
import {SystemClock} from '../src/index.js';

test('a timer longer than the system supports does not fire at once', async (t) => {
	const clock = new SystemClock();
	let fired = 0;
	const cancels = [2 ** 31, 1e300, Infinity].map((ms) =>
		clock.after(ms, () => {
			fired++;
		}),
	);
	await clock.sleep(50);
	t.is(fired, 0);
	for (const cancel of cancels) {
		cancel();
	}
});
