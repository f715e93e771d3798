/** The pure core at the size of two years' time, in this process: time, bytes and heap of each piece of state. */
import {
	Membership,
	Replica,
	Roster,
	type Account,
	type VersionedObject,
	type Member,
} from '@kingcuproute/core';
import {heapOf} from './heap.js';
import {time, type Piece} from './piece.js';
import {tablePieces} from './table-pieces.js';

const domainCount = 8;

/** Measures everything at each size of the fleet. */
export function measureFullSize(sizes: readonly number[]): readonly Piece[] {
	return [
		...tablePieces(),
		...sizes.flatMap((size) => [...memberPieces(size), ...objectPieces(size)]),
	];
}

function memberPieces(size: number): readonly Piece[] {
	const members = membersOf(size);
	const accounts = members.map((member): Account => ({
		member,
		count: 0,
		out: false,
		leaving: false,
	}));
	const membership = Membership.empty.with(accounts);
	const roster = Roster.of(members);
	const [{id, failureDomain}] = members;
	return [
		{name: 'members: arrange', size, ms: time(() => Roster.of(members))},
		{
			name: 'members: judge one',
			size,
			ms: time(() => membership.markedOut(id, true).live()),
		},
		{
			name: 'members: digests, one for each domain',
			size,
			ms: time(() => membership.markedOut(id, true).digests()),
		},
		{
			name: 'members: answer equal digests',
			size,
			ms: time(() => membership.equals(membership.digests())),
		},
		{
			name: 'members: accounts sent for one that differs, as JSON',
			size,
			bytes: JSON.stringify(
				membership.differingFrom(membership.markedOut(id, true).digests()),
			).length,
		},
		{
			name: 'members: children in the tree',
			size,
			ms: time(() => roster.children(members[7].id, id, 'fleet')),
		},
		{
			name: 'members: relays',
			size,
			ms: time(() => roster.relays(failureDomain)),
		},
		{
			name: 'members: list as JSON',
			size,
			bytes: JSON.stringify(accounts).length,
		},
		{
			name: 'members: heap',
			size,
			heapMegabytes: heapOf(() => {
				const all = membersOf(size);
				return [
					Membership.empty.with(
						all.map((member) => ({
							member,
							count: 0,
							out: false,
							leaving: false,
						})),
					),
					Roster.of(all),
				];
			}),
		},
	];
}

/** Five objects for each daemon: its VM, its backend servers and contracts. */
function objectPieces(daemons: number): readonly Piece[] {
	const size = daemons * 5;
	const objects = objectsOf(size);
	const replica = Replica.empty.withListing(size, objects);
	const change: VersionedObject = {
		kind: 'vm',
		name: 'vm-1',
		version: size + 1,
		value: {vm: 'vm-1', out: true},
	};
	return [
		{
			name: 'objects: take one change',
			size,
			ms: time(() =>
				replica.withChanges({since: size, upto: size + 1}, [change]),
			),
		},
		{
			name: 'objects: answer an idle digest',
			size,
			ms: time(() => [replica.unstored(), replica.storedAfter(size)]),
		},
		{
			name: 'objects: list of one kind',
			size,
			ms: time(() => replica.view.all('contract')),
		},
		{name: 'objects: all as JSON', size, bytes: JSON.stringify(objects).length},
		{
			name: 'objects: heap',
			size,
			heapMegabytes: heapOf(() =>
				Replica.empty.withListing(size, objectsOf(size)),
			),
		},
	];
}

function membersOf(size: number): readonly Member[] {
	return Array.from({length: size}, (_, index) => ({
		id: `vm-${index}.3y9vll16f`,
		vm: `vm-${index}`,
		failureDomain: `fd-${index % domainCount}`,
		address: `10.0.${index % 256}.${Math.floor(index / 256)}:7000`,
	}));
}

function objectsOf(size: number): readonly VersionedObject[] {
	return Array.from({length: size}, (_, index): VersionedObject => {
		const version = index + 1;
		const name = `name-${index}`;
		return index % 5 === 0
			? {kind: 'vm', name, version, value: {vm: name, out: false}}
			: index % 5 === 1
				? {
						kind: 'contract',
						name,
						version,
						value: {
							customer: name,
							services: ['ticket-desk', 'kaha'],
							ratePerSecond: 1000,
							burst: 500,
							concurrency: 100,
							weight: 1,
						},
					}
				: {
						kind: 'backend-server',
						name,
						version,
						value: {
							backendServer: name,
							service: 'ticket-desk',
							failureDomain: 'fd-1',
							address: '10.0.0.1:8080',
							out: false,
						},
					};
	});
}
