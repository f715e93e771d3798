import test from 'ava';
import {AnswerDelay} from '../../src/index.js';

test('answers get twice the time that recent ones took, within bounds, and less again as they get faster', (t) => {
	const delay = new AnswerDelay();
	t.is(delay.slackMs, 400);
	delay.answered(300);
	t.is(delay.slackMs, 600);
	delay.answered(2000);
	t.is(delay.slackMs, 900);
	for (let count = 0; count < 20; count++) {
		delay.answered(5);
	}

	t.is(delay.slackMs, 400);
});
