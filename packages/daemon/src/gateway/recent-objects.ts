/**
 * The last revisions of large objects, to which changes are sent as diffs. An object is the
 * same for all daemons that have it at the same revision. Objects of other kinds are ignored.
 */
import {hasDiffs, type StoredObject} from '@kingcuproute/platform';

/** Tables change a few times a second, and a reader is at most a few seconds behind its watcher. */
const maxRevisions = 8;
/** Bounds what is kept of a kind with many objects. */
const maxNames = 100;

type Revisions = ReadonlyMap<string, readonly StoredObject[]>;

export class RecentObjects {
	/** By kind and name, in the order of their revisions. */
	readonly #kinds = new Map<string, Revisions>();

	/** The newest recorded revision of each object of a kind. */
	newest(kind: string): readonly StoredObject[] {
		return [...(this.#kinds.get(kind)?.values() ?? [])].map((revisions) =>
			revisions.at(-1)!,
		);
	}

	record(kind: string, objects: Iterable<StoredObject>): void {
		if (!hasDiffs(kind)) {
			return;
		}

		for (const object of objects) {
			this.#add(kind, object);
		}
	}

	at(kind: string, name: string, revision: number): StoredObject | undefined {
		return this.#kinds
			.get(kind)
			?.get(name)
			?.find((object) => object.revision === revision);
	}

	#add(kind: string, object: StoredObject): void {
		const {name, revision} = object;
		const names = this.#kinds.get(kind) ?? new Map<string, never>();
		const known = names.get(name) ?? [];
		if (known.length === 0 && names.size >= maxNames) {
			return;
		}

		const others = known.filter((other) => other.revision !== revision);
		const revisions = [...others, object]
			.sort((a, b) => a.revision - b.revision)
			.slice(-maxRevisions);
		this.#kinds.set(kind, new Map([...names, [name, revisions]]));
	}
}
