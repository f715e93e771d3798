/**
 * The recent changes of one kind of object, from which a watcher answers daemons that have
 * an earlier revision. Built by comparing successive copies of the objects, so that it does
 * not matter how the watcher learnt of a change. Answers the bytes and processor time of
 * sending all objects for each change.
 */

export type Revised = {readonly name: string; readonly revision: number};

export type HistoryChanges<T> = {
	readonly objects: readonly T[];
	/** Names of removed objects, with the revision at which the removal was known. */
	readonly removed: readonly Revised[];
};

/** A follower is at most a few changes behind; one that is further behind lists all objects. */
const maxRemovals = 500;

export class KindHistory<T extends Revised> {
	#objects: ReadonlyMap<string, T> = new Map();
	/** In the order of their revisions. */
	#removed: readonly Revised[] = [];
	/** Changes up to this revision are not known; undefined until the objects have been read. */
	#start: number | undefined;
	#contentRevision = 0;

	/** The newest revision at which an object changed, or a removal was known. */
	get contentRevision(): number {
		return this.#contentRevision;
	}

	get objects(): Iterable<T> {
		return this.#objects.values();
	}

	/** Records the objects as of `revision`. */
	update(objects: ReadonlyMap<string, T>, revision: number): void {
		const removed = [...this.#objects.keys()]
			.filter((name) => !objects.has(name))
			.map((name) => ({name, revision}));
		this.#removed = [...this.#removed, ...removed];
		const forgotten = this.#removed.length - maxRemovals;
		if (forgotten > 0) {
			this.#start = this.#removed[forgotten - 1].revision;
			this.#removed = this.#removed.slice(forgotten);
		}

		// Objects that were removed before the first copy are not known.
		const isContentNew = this.#start === undefined || removed.length > 0;
		this.#start ??= revision;
		this.#objects = objects;
		let content = isContentNew ? revision : this.#contentRevision;
		for (const object of objects.values()) {
			content = Math.max(content, object.revision);
		}

		this.#contentRevision = content;
	}

	/** The changes after `since`; undefined if they are not known. */
	changesAfter(since: number): HistoryChanges<T> | undefined {
		if (this.#start === undefined || since < this.#start) {
			return undefined;
		}

		if (since >= this.#contentRevision) {
			return {objects: [], removed: []};
		}

		return {
			objects: [...this.#objects.values()].filter(
				({revision}) => revision > since,
			),
			removed: this.#removed.filter(
				({name, revision}) => revision > since && !this.#objects.has(name),
			),
		};
	}
}
