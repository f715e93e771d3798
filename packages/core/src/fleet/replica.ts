/**
 * What a daemon holds of the platform's objects, and up to which version it is
 * whole. Objects may arrive singly and in any order, by push, watch, list or
 * digest; nothing held ever goes back to an older version, and a deletion stays.
 */
import {View, type Held} from '../config/view.js';

type ObjectId = {readonly kind?: string; readonly name?: string};

/** Versions after `since`, up to `upto`. */
export type Span = {readonly since: number; readonly upto: number};

/** What a peer gave to a daemon that asked for everything after `since`. */
export type Pulled = Span & {
	/** Every object is there: what is not was deleted. */
	readonly whole: boolean;
	readonly objects: readonly Held[];
};

/** A view that is whole up to `complete`. */
export class Replica {
	static readonly empty = new Replica(View.empty, 0, 0);

	private constructor(
		readonly view: View,
		/** Every change up to this version is in the view: the version in force. */
		readonly complete: number,
		/** Deletions before this version left no trace here. */
		readonly floor: number,
	) {}

	/** With objects whose predecessors may be missing. */
	with(objects: readonly Held[]): Replica {
		const fresh = objects.filter((held) => this.#mayBeNew(held));
		const view = this.view.with(fresh);
		return view === this.view
			? this
			: new Replica(view, this.complete, this.floor);
	}

	/** With all changes of a span; the whole rises only if the span follows on. */
	changed({since, upto}: Span, objects: readonly Held[]): Replica {
		const next = this.with(objects);
		return next.complete >= since && next.complete < upto
			? new Replica(next.view, upto, next.floor)
			: next;
	}

	/**
	 * With everything there was at `version`; a list older than what is held changes
	 * nothing. What is known of `unreadable` objects stays.
	 */
	listed(
		version: number,
		objects: readonly Held[],
		unreadable: readonly ObjectId[] = [],
	): Replica {
		if (version <= this.complete) {
			return this;
		}

		const live = objects.filter(({value}) => value !== undefined);
		const present = new Set([...live, ...unreadable].map((one) => idOf(one)));
		const deleted = this.view
			.held()
			.filter(
				(held) =>
					isStored(held) &&
					held.value !== undefined &&
					held.version <= version &&
					!present.has(idOf(held)),
			)
			.map(({kind, name}) => ({kind, name, version}));
		const view = this.view.with(objects).with(deleted);
		return new Replica(view, version, version);
	}

	/** With all that a peer gave. */
	pulled({whole, objects, since, upto}: Pulled): Replica {
		return whole
			? this.listed(upto, objects).with(objects)
			: this.changed({since, upto}, objects);
	}

	/** Whether a daemon that is whole up to `since` can be given changes alone. */
	reaches(since: number): boolean {
		return since >= this.floor;
	}

	/** Stored objects above `version`, deletions too, oldest first. */
	after(version: number): readonly Held[] {
		return this.view
			.above(version)
			.filter((held) => isStored(held))
			.toSorted((a, b) => a.version - b.version);
	}

	/** Objects that are passed between daemons only. */
	unstored(): readonly Held[] {
		return this.view.heldOf('succession');
	}

	/** Up to the version that is whole all is known: what comes late from there was replaced or deleted since. */
	#mayBeNew(held: Held): boolean {
		const known = this.view.versionOf(held.kind, held.name);
		return (
			held.version > known && (!isStored(held) || held.version > this.complete)
		);
	}
}

/** Whether the platform holds objects of this kind. */
export function isStored({kind}: Held): boolean {
	return kind !== 'succession';
}

function idOf({kind, name}: ObjectId): string {
	return `${kind}/${name}`;
}
