import test from 'ava';
import fc from 'fast-check';
import {dutiesOf, type DutyInputs} from '../src/index.js';

const memberOf = (number: number) => ({
	id: `vm-${number}.a`,
	vm: `vm-${number}`,
	failureDomain: `fd-${number % 3}`,
	address: '127.0.0.1:1',
});

const subsetOf = (prefix: string, suffix = '') =>
	fc
		.subarray([0, 1, 2, 3, 4, 5, 6, 7])
		.map((numbers) => numbers.map((number) => `${prefix}${number}${suffix}`));

const sources = fc
	.record({
		count: fc.integer({min: 1, max: 8}),
		leaving: subsetOf('vm-', '.a'),
		vmsOut: subsetOf('vm-'),
		domainsOut: subsetOf('fd-'),
	})
	.map(({count, leaving, vmsOut, domainsOut}): DutyInputs => ({
		members: Array.from({length: count}, (_, index) => memberOf(index)),
		leaving: new Set(leaving),
		vms: vmsOut.map((vm) => ({vm, out: true})),
		failureDomains: domainsOut.map((failureDomain) => ({
			failureDomain,
			region: 'main',
			out: true,
		})),
	}));

test('some daemon always has duties, and none whose VM counts as leaving has any unless all daemons do', (t) => {
	fc.assert(
		fc.property(sources, (from) => {
			const {members, leavingVms} = dutiesOf(from);
			const isEveryone = members.length === from.members.length;
			return (
				members.length > 0 &&
				(isEveryone || members.every(({vm}) => !leavingVms.has(vm)))
			);
		}),
	);
	t.pass();
});

test('the list alone removes duties from at most half of the daemons, and leaves at least two with duties', (t) => {
	fc.assert(
		fc.property(sources, (from) => {
			const {members} = dutiesOf({...from, vms: [], failureDomains: []});
			const least = Math.min(
				from.members.length,
				Math.max(2, from.members.length / 2),
			);
			return members.length >= least;
		}),
	);
	t.pass();
});

test('each daemon without duties is listed with the reason', (t) => {
	const duties = dutiesOf({
		members: [0, 1, 2, 3, 4].map((number) => memberOf(number)),
		leaving: new Set(['vm-3.a']),
		vms: [{vm: 'vm-1', out: true}],
		failureDomains: [{failureDomain: 'fd-2', region: 'main', out: true}],
	});
	t.deepEqual(
		duties.members.map(({vm}) => vm),
		['vm-0', 'vm-4'],
	);
	t.deepEqual(duties.reasons, [
		{vm: 'vm-1', reason: 'VM taken out'},
		{vm: 'vm-2', reason: 'failure domain taken out'},
		{vm: 'vm-3', reason: 'VM listed as leaving'},
	]);
});
