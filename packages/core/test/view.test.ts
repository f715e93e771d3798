import test from 'ava';
import fc from 'fast-check';
import {View, type VersionedObject} from '../src/index.js';

function vmAt(name: string, version: number): VersionedObject {
	return {kind: 'vm', name, version, value: {vm: name, out: false}};
}

const changes = fc.array(
	fc
		.record({
			name: fc.constantFrom('vm-1', 'vm-2', 'vm-3'),
			version: fc.integer({min: 1, max: 40}),
		})
		.map(({name, version}) => vmAt(name, version)),
);

test('an object never reverts to an older version, whatever the order and grouping of changes', (t) => {
	fc.assert(
		fc.property(changes, fc.integer({min: 1, max: 5}), (all, size) => {
			let view = View.empty;
			for (let start = 0; start < all.length; start += size) {
				const next = view.with(all.slice(start, start + size));
				for (const {kind, name} of all) {
					t.true(next.versionOf(kind, name) >= view.versionOf(kind, name));
				}

				view = next;
			}

			for (const {kind, name} of all) {
				const newestVersion = Math.max(
					...all
						.filter((object) => object.name === name)
						.map(({version}) => version),
				);
				t.is(view.versionOf(kind, name), newestVersion);
			}
		}),
	);
});

test('a deleted object is absent and an older value does not restore it', (t) => {
	const view = View.empty
		.with([vmAt('vm-1', 3)])
		.with([{kind: 'vm', name: 'vm-1', version: 5}]);
	t.is(view.get('vm', 'vm-1'), undefined);
	t.is(view.with([vmAt('vm-1', 4)]).get('vm', 'vm-1'), undefined);
});
