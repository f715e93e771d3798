import test from 'ava';
import {askIntervalMs, Homes, type Member} from '../src/index.js';
import {rounding} from './limits-fleet.js';
import {levelTerms} from './limits-tree-daemon.js';

const domains = 8;
const maxAsksPerSecond = 66;
const secondMs = 1000;
const customers = ['tiktak-haus', 'chaleur-terrasse'];

function membersOf(size: number): readonly Member[] {
	return Array.from({length: size}, (_, index) => ({
		id: `vm-${index}.1`,
		vm: `vm-${index}`,
		failureDomain: `fd-${index % domains}`,
		address: `10.0.0.1:${index}`,
	}));
}

function homesOf(members: readonly Member[]): Homes<Member> {
	return Homes.of(members, members.length);
}

/** The daemons that ask each home of a customer's contract, by the home's id. */
function callersOf(
	homes: Homes<Member>,
	members: readonly Member[],
	customer: string,
): ReadonlyMap<string, readonly Member[]> {
	const callers = new Map<string, Member[]>();
	for (const member of members) {
		const {id} = homes.homeOf(customer, member.id)!.home;
		callers.set(id, [...(callers.get(id) ?? []), member]);
	}

	return callers;
}

test('a fleet of up to 66 daemons has one home for a contract, and none above it', (t) => {
	for (const size of [1, 11, 66]) {
		const members = membersOf(size);
		const homes = homesOf(members);
		t.is(callersOf(homes, members, 'tiktak-haus').size, 1);
		t.is(homes.homeOf('tiktak-haus', 'vm-0.1')?.level, 'single');
		t.is(homes.fleetHome('tiktak-haus'), undefined);
	}
});

test('in a larger fleet no home receives more than 66 asks per second for a contract', (t) => {
	for (const size of [67, 1100, 4400]) {
		const members = membersOf(size);
		const homes = homesOf(members);
		for (const customer of customers) {
			const callers = callersOf(homes, members, customer);
			for (const [home, each] of callers) {
				const intervalMs = askIntervalMs(each.length, levelTerms.domain);
				t.true(
					(each.length * secondMs) / intervalMs <= maxAsksPerSecond + rounding,
				);
				t.is(homes.groupSize(home), each.length);
			}

			const intervalMs = askIntervalMs(homes.groupCount, levelTerms.fleet);
			t.is(callers.size, homes.groupCount);
			t.true(
				(callers.size * secondMs) / intervalMs <= maxAsksPerSecond + rounding,
			);
			t.is(homes.fleetHome(customer)?.level, 'fleet');
		}
	}
});

test('in a larger fleet a daemon asks a home in its own failure domain', (t) => {
	const members = membersOf(1100);
	const homes = homesOf(members);
	for (const {id, failureDomain} of members) {
		const homeAtLevel = homes.homeOf('tiktak-haus', id);
		t.is(homeAtLevel?.home.failureDomain, failureDomain);
		t.is(homeAtLevel?.level, 'domain');
	}
});

test('most daemons keep their home when one member is lost or joins', (t) => {
	const members = membersOf(4400);
	const before = homesOf(members);
	for (const after of [members.toSpliced(7, 1), membersOf(4401)]) {
		const homes = homesOf(after);
		const moved = after.filter(({id}) => {
			const home = before.homeOf('tiktak-haus', id)?.home;
			return home && homes.homeOf('tiktak-haus', id)?.home.id !== home.id;
		});
		t.true(moved.length < 4400 / 10, `${moved.length} daemons moved`);
	}
});

test('an ineligible daemon is no home, unless its whole group is ineligible', (t) => {
	for (const size of [11, 1100]) {
		const members = membersOf(size);
		const [first] = members;
		const ineligible = homesOf(members).homeOf('tiktak-haus', first.id)!.home;
		const eligible = members.filter(({id}) => id !== ineligible.id);
		const homes = Homes.of(members, size, eligible);
		t.not(homes.homeOf('tiktak-haus', first.id)?.home.id, ineligible.id);
		t.truthy(homes.homeOf('tiktak-haus', ineligible.id));
		const none = Homes.of(members, size, []);
		t.is(none.homeOf('tiktak-haus', first.id)?.home.id, ineligible.id);
	}
});
