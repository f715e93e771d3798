/**
 * A daemon's copy of the platform's objects, and the version up to which the copy
 * is complete. Objects may arrive one by one and in any order, by push, watch, list
 * or digest; no object ever reverts to an older version, and a deletion is final.
 */
import {View, type VersionedObject} from '../config/view.js';

type ObjectId = {readonly kind?: string; readonly name?: string};

/** The versions after `since` up to and including `upto`. */
export type VersionRange = {readonly since: number; readonly upto: number};

/** A peer's answer to a daemon that pulls everything after `since`. */
export type PullResult = VersionRange & {
	/** The answer holds every object, so any object it does not hold was deleted. */
	readonly whole: boolean;
	readonly objects: readonly VersionedObject[];
};

/** A view that is complete up to the version `complete`. */
export class Replica {
	static readonly empty = new Replica(View.empty, 0, 0);

	private constructor(
		readonly view: View,
		/** Every change up to this version is in the view: this is the version in force. */
		readonly complete: number,
		/** Deletions before this version may be unknown here. */
		readonly floor: number,
	) {}

	/** Adds single objects; changes before them may be missing, so `complete` stays as it is. */
	with(objects: readonly VersionedObject[]): Replica {
		const fresh = objects.filter((object) => this.#mayBeNew(object));
		const view = this.view.with(fresh);
		return view === this.view
			? this
			: new Replica(view, this.complete, this.floor);
	}

	/** Adds all changes of a version range; `complete` increases only if no version is missing before it. */
	withChanges(
		{since, upto}: VersionRange,
		objects: readonly VersionedObject[],
	): Replica {
		const next = this.with(objects);
		return next.complete >= since && next.complete < upto
			? new Replica(next.view, upto, next.floor)
			: next;
	}

	/**
	 * Adds a list of all objects that existed at `version`, and marks all others as
	 * deleted. A list that is not newer than `complete` changes nothing. Objects in
	 * `unreadable` are left as they are.
	 */
	withListing(
		version: number,
		objects: readonly VersionedObject[],
		unreadable: readonly ObjectId[] = [],
	): Replica {
		if (version <= this.complete) {
			return this;
		}

		const live = objects.filter(({value}) => value !== undefined);
		const present = new Set(
			[...live, ...unreadable].map((object) => idOf(object)),
		);
		const deleted = this.view
			.allObjects()
			.filter(
				(object) =>
					isStored(object) &&
					object.value !== undefined &&
					object.version <= version &&
					!present.has(idOf(object)),
			)
			.map(({kind, name}) => ({kind, name, version}));
		const view = this.view.with(objects).with(deleted);
		return new Replica(view, version, version);
	}

	/** Adds a peer's answer to a pull. */
	withPullAnswer({whole, objects, since, upto}: PullResult): Replica {
		return whole
			? this.withListing(upto, objects).with(objects)
			: this.withChanges({since, upto}, objects);
	}

	/** Whether the changes alone are enough for a daemon that is complete up to `since`. */
	hasChangesSince(since: number): boolean {
		return since >= this.floor;
	}

	/** Stored objects whose version is higher than `version`, including deleted ones, oldest first. */
	storedAfter(version: number): readonly VersionedObject[] {
		return this.view
			.newerThan(version)
			.filter((object) => isStored(object))
			.toSorted((a, b) => a.version - b.version);
	}

	/** Objects that are passed between daemons only. */
	unstored(): readonly VersionedObject[] {
		return this.view.objectsOf('succession');
	}

	/**
	 * Whether an object may be news. Up to `complete` everything is known, so a stored
	 * object with such a version that is not known has since been replaced or deleted.
	 */
	#mayBeNew(object: VersionedObject): boolean {
		const knownVersion = this.view.versionOf(object.kind, object.name);
		return (
			object.version > knownVersion &&
			(!isStored(object) || object.version > this.complete)
		);
	}
}

/** Whether the platform stores objects of this kind. */
export function isStored({kind}: VersionedObject): boolean {
	return kind !== 'succession';
}

function idOf({kind, name}: ObjectId): string {
	return `${kind}/${name}`;
}
