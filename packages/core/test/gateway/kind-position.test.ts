import test from 'ava';
import {KindPosition} from '../../src/index.js';

test('a list of a watcher with a shorter history is asked from, though its revision is behind', (t) => {
	const position = new KindPosition();
	position.offer(100, 5);
	position.take(100);
	t.is(position.content, 5);
	t.true(position.offer(90, 50));
	position.take(100);
	t.is(position.content, 50);
	t.is(position.reached, 100);
});

test('a reading that was not taken does not count', (t) => {
	const position = new KindPosition();
	position.offer(10, 10);
	position.take(10);
	position.offer(20, 20);
	position.take(10);
	t.is(position.content, 10);
	t.false(position.offer(9, 9));
});
