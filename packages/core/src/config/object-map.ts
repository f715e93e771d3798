/**
 * An immutable map of the objects of one kind, by name. Sorted lists are computed
 * once and cached, because reads are much more frequent than changes.
 */
import {type VersionedObject} from './view.js';

export class ObjectMap {
	static readonly empty = new ObjectMap(new Map());

	#sorted: readonly VersionedObject[] | undefined;
	#values: ReadonlyArray<VersionedObject['value']> | undefined;

	private constructor(
		private readonly objects: ReadonlyMap<string, VersionedObject>,
	) {}

	/** The map with `updates` applied; an update replaces the object of the same name if its version is higher. */
	with(updates: readonly VersionedObject[]): ObjectMap {
		const objects = new Map(this.objects);
		for (const object of updates) {
			if (object.version > (objects.get(object.name)?.version ?? 0)) {
				objects.set(object.name, object);
			}
		}

		return new ObjectMap(objects);
	}

	get(name: string): VersionedObject | undefined {
		return this.objects.get(name);
	}

	/** Every object, including deleted ones, sorted by name. */
	all(): readonly VersionedObject[] {
		this.#sorted ??= [...this.objects.values()].sort((a, b) =>
			a.name < b.name ? -1 : 1,
		);
		return this.#sorted;
	}

	/** Values of the objects that are not deleted, sorted by name. */
	values(): ReadonlyArray<VersionedObject['value']> {
		this.#values ??= this.all().flatMap(({value}) =>
			value === undefined ? [] : [value],
		);
		return this.#values;
	}

	/** Every object whose version is higher than `version`, in no particular order. */
	newerThan(version: number): readonly VersionedObject[] {
		return [...this.objects.values()].filter(
			(object) => object.version > version,
		);
	}
}
