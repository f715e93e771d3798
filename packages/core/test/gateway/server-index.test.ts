import test from 'ava';
import fc from 'fast-check';
import {SeededRandom, ServerIndex, type ListedServer} from '../../src/index.js';
import {aServer} from './a-server.js';

const random = new SeededRandom(7);

/** Lists of servers as they follow each other, with the same object for an entry that has not changed. */
const lists = fc.array(
	fc.record({
		ids: fc.uniqueArray(fc.nat(9)),
		changed: fc.nat(9),
		out: fc.constantFrom('a', 'b', 'none'),
	}),
	{maxLength: 8},
);

test('after any changes of the list, a large sample is the list in service, and only its servers own keys', (t) => {
	fc.assert(
		fc.property(lists, (steps) => {
			const index = new ServerIndex('a');
			const entries = new Map<number, ListedServer>();
			for (const [step, {ids, changed, out}] of steps.entries()) {
				entries.delete(changed);
				const servers = ids.map((id) => {
					const server = entries.get(id) ?? anEntry(id, step);
					entries.set(id, server);
					return server;
				});
				index.update(servers, new Set([out]));
				const inService = servers.filter(
					({failureDomain}) => failureDomain !== out,
				);
				const sampled = ['s', 't'].flatMap(
					(service) => index.sample(service, 20, true, random).servers,
				);
				t.is(sampled.length, inService.length);
				t.true(inService.every((server) => sampled.includes(server)));
				for (const id of Array.from({length: 10}).keys()) {
					const server = entries.get(id);
					const range = {
						from: 0,
						to: 1,
						fence: 1,
						owner: `s${id}`,
						ownerStartedAt: server?.startedAt ?? 0,
					};
					const owner = index.owner(server?.service ?? 's', range);
					t.is(
						owner,
						server && inService.includes(server) ? server : undefined,
					);
				}
			}
		}),
	);
});

function anEntry(id: number, step: number): ListedServer {
	return aServer(`s${id}`, {
		service: id % 4 === 0 ? 't' : 's',
		startedAt: step,
		failureDomain: id % 2 === 0 ? 'a' : 'b',
		draining: step % 3 === 1,
	});
}

test('a sample holds different servers, each as often as the others, and more of the own domain where that is preferred', (t) => {
	const index = new ServerIndex('d0');
	const servers = Array.from({length: 90}, (_, id) =>
		aServer(`s${id}`, {failureDomain: `d${id % 3}`}),
	);
	index.update(servers, new Set());
	const counts = new Map<ListedServer, number>();
	for (let draw = 0; draw < 3000; draw++) {
		const sample = index.sample('s', 16, false, random);
		t.is(new Set(sample.servers).size, 16);
		t.false(sample.isWhole);
		for (const server of sample.servers) {
			counts.set(server, (counts.get(server) ?? 0) + 1);
		}
	}

	// Each is expected 533 times.
	t.true(servers.every((server) => counts.get(server)! > 430));
	const preferring = index.sample('s', 16, true, random).servers;
	const own = preferring.filter(({failureDomain}) => failureDomain === 'd0');
	t.is(own.length, 10);
	t.is(preferring.length, 16);
});

test('a draining server is sampled only where the others do not fill the sample', (t) => {
	const index = new ServerIndex('a');
	const servers = Array.from({length: 20}, (_, id) =>
		aServer(`s${id}`, {draining: id < 8}),
	);
	index.update(servers, new Set());
	const sampled = index.sample('s', 12, false, random).servers;
	t.true(sampled.every(({draining}) => !draining));
	t.is(index.sample('s', 16, false, random).servers.length, 16);
});
