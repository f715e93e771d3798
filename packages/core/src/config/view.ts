/**
 * The platform's objects as one daemon knows them: an immutable value in which a
 * newer version of an object replaces an older one, never the reverse.
 */
import {type Kind, type KindValue} from './config-object.js';
import {ObjectMap} from './object-map.js';

/** One object at one version; a deleted object has no `value`. */
export type VersionedObject<K extends Kind = Kind> = {
	readonly kind: K;
	readonly name: string;
	/** The platform's version counter, which every write to any object increases. */
	readonly version: number;
	readonly value?: KindValue<K>;
};

/** All known objects, by kind and name. */
export class View {
	static readonly empty = new View(new Map(), 0);

	private constructor(
		private readonly objectsByKind: ReadonlyMap<Kind, ObjectMap>,
		/** The highest version of any known object. */
		readonly version: number,
	) {}

	/** This view with `changes` applied; a change that is not newer than the known object is ignored. */
	with(changes: readonly VersionedObject[]): View {
		const updates = changes.filter(
			(object) => object.version > this.versionOf(object.kind, object.name),
		);
		if (updates.length === 0) {
			return this;
		}

		const objectsByKind = new Map(this.objectsByKind);
		let {version} = this;
		for (const kind of new Set(updates.map((object) => object.kind))) {
			const ofKind = updates.filter((object) => object.kind === kind);
			objectsByKind.set(kind, this.#objects(kind).with(ofKind));
		}

		for (const object of updates) {
			version = Math.max(version, object.version);
		}

		return new View(objectsByKind, version);
	}

	/** The known version of one object; 0 if the object is unknown. */
	versionOf(kind: Kind, name: string): number {
		return this.#objects(kind).get(name)?.version ?? 0;
	}

	/** The value of one object; undefined if it is unknown or deleted. */
	get<K extends Kind>(kind: K, name: string): KindValue<K> | undefined {
		return this.#objects(kind).get(name)?.value as KindValue<K> | undefined;
	}

	/**
	 * Values of all objects of a kind that are not deleted, sorted by name. Returns
	 * the same array until an object of the kind changes.
	 */
	all<K extends Kind>(kind: K): ReadonlyArray<KindValue<K>> {
		return this.#objects(kind).values() as ReadonlyArray<KindValue<K>>;
	}

	/** Every known object, including deleted ones, sorted by kind and name. */
	allObjects(): readonly VersionedObject[] {
		const kinds = [...this.objectsByKind.keys()].toSorted();
		return kinds.flatMap((kind) => this.#objects(kind).all());
	}

	/** Every object of a kind, including deleted ones, sorted by name. */
	objectsOf(kind: Kind): readonly VersionedObject[] {
		return this.#objects(kind).all();
	}

	/** Every object whose version is higher than `version`, in no particular order. */
	newerThan(version: number): readonly VersionedObject[] {
		return version >= this.version
			? []
			: [...this.objectsByKind.values()].flatMap((objects) =>
					objects.newerThan(version),
				);
	}

	#objects(kind: Kind): ObjectMap {
		return this.objectsByKind.get(kind) ?? ObjectMap.empty;
	}
}
