/**
 * The recent changes of one kind of object, from which a watcher answers daemons that have
 * an earlier copy. Built by comparing the copies that the watcher has had. Between two of
 * them an object may have come and gone unseen, so that only a daemon with one of these
 * copies, or with a later one than the newest, can be told its changes; others list all
 * objects. Answers the bytes and processor time of sending all objects for each change.
 */

export type Revised = {readonly name: string; readonly revision: number};

export type HistoryChanges<T> = {
	readonly objects: readonly T[];
	/** Names of removed objects, with the revision at which the removal was known. */
	readonly removed: readonly Revised[];
};

/** A follower is at most a few changes behind; one that is further behind lists all objects. */
const maxCopies = 100;
const maxRemovals = 500;

export class KindHistory<T extends Revised> {
	#objects: ReadonlyMap<string, T> = new Map();
	/** In the order of their revisions. */
	#removed: readonly Revised[] = [];
	/** The revisions of the copies, in their order. */
	#copies: readonly number[] = [];

	/** The revision of the newest copy that differs from the one before; 0 before the first. */
	get contentRevision(): number {
		return this.#copies.at(-1) ?? 0;
	}

	get objects(): Iterable<T> {
		return this.#objects.values();
	}

	/** Records a copy of the objects as of `revision`. */
	update(objects: ReadonlyMap<string, T>, revision: number): void {
		const removed = [...this.#objects.keys()]
			.filter((name) => !objects.has(name))
			.map((name) => ({name, revision}));
		const isChanged =
			removed.length > 0 ||
			[...objects.values()].some(
				(object) =>
					this.#objects.get(object.name)?.revision !== object.revision,
			);
		if (!isChanged && this.#copies.length > 0) {
			return;
		}

		this.#objects = objects;
		this.#copies = [...this.#copies, revision].slice(-maxCopies);
		this.#removed = [...this.#removed, ...removed];
		const forgotten = this.#removed.length - maxRemovals;
		if (forgotten > 0) {
			const start = this.#removed[forgotten - 1].revision;
			this.#removed = this.#removed.slice(forgotten);
			this.#copies = this.#copies.filter((copy) => copy >= start);
		}
	}

	/** The changes after `since`; undefined if they are not known. */
	changesAfter(since: number): HistoryChanges<T> | undefined {
		if (this.#copies.length === 0) {
			return undefined;
		}

		if (since >= this.contentRevision) {
			return {objects: [], removed: []};
		}

		if (!this.#copies.includes(since)) {
			return undefined;
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
