import test from 'ava';
import fc from 'fast-check';
import {fanOut, Membership, Roster, type Account} from '../src/index.js';

const members = fc.uniqueArray(
	fc.record({
		id: fc.nat(500).map((number) => `vm-${number}.a`),
		failureDomain: fc.constantFrom('fd-a', 'fd-b', 'fd-c'),
	}),
	{minLength: 1, maxLength: 120, selector: ({id}) => id},
);

function reachedFrom(
	roster: Roster<{readonly id: string; readonly failureDomain: string}>,
	root: string,
): readonly string[] {
	const reached = [root];
	// The array grows while it is iterated.
	for (const id of reached) {
		reached.push(
			...roster.children(root, id, 'fleet').map((child) => child.id),
		);
	}

	return reached;
}

test('the tree of any root reaches every live member once with bounded fan-out, also after members are lost', (t) => {
	fc.assert(
		fc.property(members, fc.nat(), (all, pick) => {
			for (const alive of [
				all,
				all.filter((_, index) => index % 5 !== pick % 5),
			]) {
				const roster = Roster.of(alive);
				const root = alive[pick % Math.max(1, alive.length)]?.id;
				if (root !== undefined) {
					const ids = alive.map(({id}) => id);
					t.deepEqual(reachedFrom(roster, root).toSorted(), ids.toSorted());
					for (const id of ids) {
						t.true(roster.children(root, id, 'fleet').length <= 2 * fanOut);
					}
				}
			}
		}),
		{numRuns: 100},
	);
});

test('in the tree below a relay, parents and children agree', (t) => {
	fc.assert(
		fc.property(members, (all) => {
			const roster = Roster.of(all);
			for (const domain of roster.domainNames()) {
				const [root] = roster.relays(domain);
				const local = all.filter(({failureDomain}) => failureDomain === domain);
				for (const {id} of local) {
					for (const child of roster.children(root.id, id, 'domain')) {
						t.is(roster.parent(root.id, child.id)?.id, id);
					}
				}
			}
		}),
		{numRuns: 100},
	);
});

const accounts = fc.array(
	fc
		.record({
			at: fc.nat(3),
			count: fc.nat(4),
			out: fc.boolean(),
			leaving: fc.boolean(),
			gone: fc.boolean(),
		})
		.map(({at, count, out, leaving, gone}) => ({
			account: {...accountAt(at, count, out), leaving},
			gone: gone ? [`vm-${at}.a`] : [],
		})),
);

function accountAt(at: number, count: number, out: boolean): Account {
	const id = `vm-${at}.a`;
	const member = {
		id,
		vm: `vm-${at}`,
		failureDomain: 'fd-a',
		address: '127.0.0.1:1',
	};
	return {member, count, out, leaving: false};
}

test('accounts merge to the same result in any order, and a gone daemon stays gone', (t) => {
	fc.assert(
		fc.property(accounts, (received) => {
			const merged = (all: typeof received) => {
				let membership = Membership.empty;
				for (const {account, gone} of all) {
					membership = membership.with([account], gone);
				}

				return membership;
			};

			const forward = merged(received);
			const backward = merged(received.toReversed());
			t.deepEqual(forward.digests(), backward.digests());
			for (const id of forward.gone) {
				t.is(forward.get(id), undefined);
			}
		}),
	);
});

test('each daemon has few contacts, and through contacts every daemon is reached within as many steps', (t) => {
	fc.assert(
		fc.property(members, (all) => {
			const roster = Roster.of(all);
			const most = Math.ceil(Math.log2(all.length)) + 1;
			let reached = new Set([all[0].id]);
			for (let step = 0; step < most; step++) {
				const next = [...reached].flatMap((id) =>
					roster.ringContacts(id).map((contact) => contact.id),
				);
				t.true(roster.ringContacts(all[0].id).length <= most);
				reached = new Set([...reached, ...next]);
			}

			t.is(reached.size, all.length);
		}),
		{numRuns: 50},
	);
});

const someAccounts = fc.array(
	fc
		.record({
			at: fc.nat(20),
			count: fc.nat(3),
			out: fc.boolean(),
			leaving: fc.boolean(),
		})
		.map(({at, count, out, leaving}): Account => ({
			member: {
				id: `vm-${at}.a`,
				vm: `vm-${at}`,
				failureDomain: `fd-${at % 3}`,
				address: '127.0.0.1:1',
			},
			count,
			out,
			leaving,
		})),
);

test('the accounts of differing domains update an asker as fully as the whole list would, and equal lists send nothing', (t) => {
	fc.assert(
		fc.property(someAccounts, someAccounts, (held, askerAccounts) => {
			const answerer = Membership.empty.with(held);
			const asker = Membership.empty.with(askerAccounts);
			const updatedAsker = asker.with(answerer.differingFrom(asker.digests()));
			const whole = asker.with(answerer.all());
			const updatedAnswerer = answerer.with(
				updatedAsker.differingFrom(answerer.digests()),
			);
			return (
				updatedAsker.equals(whole.digests()) &&
				updatedAnswerer.equals(updatedAsker.digests()) &&
				updatedAnswerer.differingFrom(updatedAsker.digests()).length === 0
			);
		}),
	);
	t.pass();
});

test('only the domains that differ are sent', (t) => {
	fc.assert(
		fc.property(someAccounts, fc.nat(20), (held, at) => {
			const answerer = Membership.empty.with(held);
			const id = `vm-${at}.a`;
			const out = !answerer.get(id)?.out;
			const sent = answerer.differingFrom(
				answerer.markedOut(id, out).digests(),
			);
			return sent.every(({member}) => member.failureDomain === `fd-${at % 3}`);
		}),
	);
	t.pass();
});
