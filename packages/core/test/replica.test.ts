import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {Replica, type VersionedObject} from '../src/index.js';

const names = ['vm-1', 'vm-2', 'vm-3', 'vm-4'];
const daemonCount = 3;

/** The platform's history: each write is a value or a deletion, at the next version. */
const histories = fc
	.array(fc.record({name: fc.constantFrom(...names), deletes: fc.boolean()}), {
		minLength: 1,
		maxLength: 30,
	})
	.map((writes) =>
		writes.map(({name, deletes}, index): VersionedObject => {
			const object = {kind: 'vm', name, version: index + 1} as const;
			return deletes ? object : {...object, value: {vm: name, out: false}};
		}),
	);

type Step = {
	readonly kind: 'watch' | 'list' | 'loose' | 'push' | 'pull' | 'restart';
	readonly at: number;
	readonly from: number;
	readonly pos: number;
};

const steps = fc.array(
	fc.record<Step>({
		kind: fc.constantFrom('watch', 'list', 'loose', 'push', 'pull', 'restart'),
		at: fc.nat(daemonCount - 1),
		from: fc.nat(daemonCount - 1),
		pos: fc.nat(29),
	}),
	{maxLength: 60},
);

function liveAt(
	history: readonly VersionedObject[],
	version: number,
): readonly VersionedObject[] {
	const newest = new Map<string, VersionedObject>();
	for (const object of history.slice(0, version)) {
		newest.set(object.name, object);
	}

	return [...newest.values()].filter(({value}) => value !== undefined);
}

function pullFrom(peer: Replica, since: number) {
	const whole = !peer.hasChangesSince(since);
	const objects = peer.storedAfter(whole ? 0 : since);
	return {whole, since, upto: peer.complete, objects};
}

function next(
	replicas: readonly Replica[],
	{kind, at, from, pos}: Step,
	history: readonly VersionedObject[],
): Replica {
	const replica = replicas[at];
	const version = Math.min(pos + 1, history.length);
	switch (kind) {
		case 'watch': {
			const since = replica.complete;
			const upto = Math.min(since + 1, history.length);
			return replica.withChanges({since, upto}, history.slice(since, upto));
		}

		case 'list': {
			return replica.withListing(version, liveAt(history, version));
		}

		case 'loose': {
			return replica.with([history[version - 1]]);
		}

		case 'push': {
			const since = Math.max(0, version - 3);
			return replica.withChanges(
				{since, upto: version},
				history.slice(since, version),
			);
		}

		case 'pull': {
			return replica.withPullAnswer(pullFrom(replicas[from], replica.complete));
		}

		case 'restart': {
			return Replica.empty;
		}
	}
}

/** Whether the replica has every object that was live at its `complete` version, or a newer one, and none that was deleted by then. */
function isComplete(
	replica: Replica,
	history: readonly VersionedObject[],
): boolean {
	const live = new Map(
		liveAt(history, replica.complete).map((object) => [
			object.name,
			object.version,
		]),
	);
	return names.every((name) => {
		const known = replica.view.versionOf('vm', name);
		const isPresent = replica.view.get('vm', name) !== undefined;
		const expected = live.get(name);
		return (
			known > replica.complete ||
			(expected === undefined ? !isPresent : known === expected)
		);
	});
}

/** The invariant that a step violated, if any. */
function violation(
	before: Replica,
	after: Replica,
	history: readonly VersionedObject[],
): string | undefined {
	if (after.complete < before.complete) {
		return 'the complete version decreased';
	}

	const reverted = names.find(
		(name) =>
			after.view.versionOf('vm', name) < before.view.versionOf('vm', name),
	);
	if (reverted !== undefined) {
		return `${reverted} reverted`;
	}

	return isComplete(after, history) ? undefined : 'not complete';
}

test('no order of watches, lists, pushes, digests and restarts reverts a version or undoes a deletion', (t) => {
	t.notThrows(() => {
		fc.assert(
			fc.property(histories, steps, (history, chosenSteps) => {
				let replicas: readonly Replica[] = Array.from(
					{length: daemonCount},
					() => Replica.empty,
				);
				for (const step of chosenSteps) {
					const after = next(replicas, step, history);
					const before =
						step.kind === 'restart' ? Replica.empty : replicas[step.at];
					replicas = replicas.with(step.at, after);
					const violated = violation(before, after, history);
					if (violated !== undefined) {
						throw new Error(`${JSON.stringify(step)}: ${violated}`);
					}
				}
			}),
			{numRuns: Number(process.env.RUNS ?? 500)},
		);
	});
});

test('after any message losses, one digest exchange with a complete daemon makes another complete', (t) => {
	fc.assert(
		fc.property(histories, steps, (history, chosenSteps) => {
			let replicas: readonly Replica[] = Array.from(
				{length: daemonCount},
				() => Replica.empty,
			);
			for (const step of chosenSteps) {
				replicas = replicas.with(step.at, next(replicas, step, history));
			}

			const end = history.length;
			const full = replicas[0].withChanges(
				{since: replicas[0].complete, upto: end},
				history.slice(replicas[0].complete),
			);
			for (const replica of replicas) {
				const after = replica.withPullAnswer(pullFrom(full, replica.complete));
				t.is(after.complete, end);
				t.deepEqual(
					after.view.all('vm').map(({vm}) => vm),
					liveAt(history, end)
						.map(({name}) => name)
						.sort(),
				);
			}
		}),
		{numRuns: 300},
	);
});

test('a complete pull answer deletes a value older than the answer, even if the peer recorded its deletion at an earlier version', (t) => {
	const value = {vm: 'vm-4', out: false};
	const peer = Replica.empty
		.with([{kind: 'vm', name: 'vm-4', version: 1, value}])
		.withListing(3, [])
		.withListing(6, []);
	const late = Replica.empty.with([
		{kind: 'vm', name: 'vm-4', version: 4, value},
	]);
	const after = late.withPullAnswer(pullFrom(peer, late.complete));
	t.is(after.view.get('vm', 'vm-4'), undefined);
});

test('a late value newer than a known deletion but older than a list without the object is ignored', (t) => {
	const vm = {kind: 'vm', name: 'vm-2'} as const;
	const value = {vm: 'vm-2', out: false};
	const listed = Replica.empty
		.withChanges({since: 0, upto: 1}, [{...vm, version: 1}])
		.withListing(3, []);
	const late = listed.with([{...vm, version: 2, value}]);
	t.is(late.view.get('vm', 'vm-2'), undefined);
});

test('an object that is unreadable in a list keeps its previous value', (t) => {
	const object = {kind: 'vm', name: 'vm-1', version: 1, value: {vm: 'vm-1'}};
	const replica = Replica.empty.withListing(1, [object as VersionedObject]);
	const {view} = replica.withListing(2, [], [{kind: 'vm', name: 'vm-1'}]);
	t.truthy(view.get('vm', 'vm-1'));
	t.is(replica.withListing(2, []).view.get('vm', 'vm-1'), undefined);
});
