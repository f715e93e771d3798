import test from 'ava';
import {
	initialAccount,
	Membership,
	SeededRandom,
	type Member,
	type Millis,
} from '@kingcuproute/core';
import {CatchUp} from '../src/fleet/catch-up.js';
import {ManualClock} from './timers.js';

const inForceMs: Millis = 3000;

function memberOf(vm: string): Member {
	const address = `${vm}:1`;
	return {id: `${vm}.1`, vm, failureDomain: 'fd-a', address};
}

/** A daemon with two of four members out, ready to come back; the first `failures` pulls are not answered. */
function fixture({failures}: {readonly failures: number}) {
	const clock = new ManualClock();
	const askedAddresses: string[] = [];
	const random = new SeededRandom(7);
	const pull = async (address: string) =>
		askedAddresses.push(address) > failures;
	const catchUp = new CatchUp({clock, random, pull});
	const members = ['vm-0', 'vm-1', 'vm-2', 'vm-3'].map((vm) => memberOf(vm));
	const membership = Membership.empty.with(
		members.map((member) => initialAccount(member)),
	);
	const update = (live: readonly Member[]) => {
		catchUp.update(live, membership);
	};

	update(members);
	update(members.slice(0, 2));
	return {clock, askedAddresses, catchUp, members, update};
}

test('daemons that have come back are asked until one answers', async (t) => {
	const {clock, askedAddresses, members, update} = fixture({failures: 2});
	update(members);
	await clock.advance(inForceMs / 3);
	t.is(askedAddresses.length, 3);
	t.deepEqual(
		askedAddresses.filter((address) => !['vm-2:1', 'vm-3:1'].includes(address)),
		[],
	);
});

test('daemons that never answer are asked a limited number of times', async (t) => {
	const {clock, askedAddresses, members, update} = fixture({
		failures: Infinity,
	});
	update(members);
	await clock.advance(100 * inForceMs);
	t.is(askedAddresses.length, 16);
});

test('daemons that are out again are not asked', async (t) => {
	const {clock, askedAddresses, members, update} = fixture({
		failures: Infinity,
	});
	update(members);
	update(members.slice(0, 2));
	await clock.advance(inForceMs);
	t.deepEqual(askedAddresses, []);
});

test('changes of the members do not postpone a pull', async (t) => {
	const {clock, askedAddresses, members, update} = fixture({failures: 0});
	update(members.slice(0, 3));
	for (let turn = 0; turn < 20; turn++) {
		await clock.advance(10);
		update(members.slice(0, turn % 2 === 0 ? 4 : 3));
	}

	t.true(askedAddresses.length > 0);
});

test('nothing is pulled after a stop', async (t) => {
	const {clock, askedAddresses, catchUp, members, update} = fixture({
		failures: Infinity,
	});
	update(members);
	catchUp.stop();
	await clock.advance(inForceMs);
	t.deepEqual(askedAddresses, []);
});
