/**
 * The recent changes of one kind of object, from which a watcher answers daemons that have
 * an earlier copy. Built by comparing the copies that the watcher has had. Between two of
 * them an object may have come and gone unseen, so that only a daemon with one of these
 * copies, or with a later one than the newest, can be told its changes; others list all
 * objects. Answers the bytes and processor time of sending all objects for each change.
 */

import {type Millis} from '../time/clock.js';

export type Revised = {readonly name: string; readonly revision: number};

/** One of the copies that the watcher has had. */
type Copy = {
	readonly revision: number;
	/** Its changes were made at this time at the earliest. */
	readonly changedSince: Millis;
};

export type HistoryChanges<T> = {
	readonly objects: readonly T[];
	/** Names of removed objects, with the revision at which the removal was known. */
	readonly removed: readonly Revised[];
	/** When the first of the changes was made, at the earliest; Infinity if there are none. */
	readonly changedSince: Millis;
};

/** A follower is at most a few changes behind; one that is further behind lists all objects. */
const maxCopies = 100;
const maxRemovals = 500;

export class KindHistory<T extends Revised> {
	#objects: ReadonlyMap<string, T> = new Map();
	/** In the order of their revisions. */
	#removed: readonly Revised[] = [];
	/** In the order of their revisions. */
	#copies: readonly Copy[] = [];

	/** The revision of the newest copy that differs from the one before; 0 before the first. */
	get contentRevision(): number {
		return this.#copies.at(-1)?.revision ?? 0;
	}

	get objects(): Iterable<T> {
		return this.#objects.values();
	}

	/** Records a copy of the objects as of `revision`, whose changes were made at `changedSince` at the earliest. */
	update(
		objects: ReadonlyMap<string, T>,
		revision: number,
		changedSince: Millis,
	): void {
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
		this.#copies = [...this.#copies, {revision, changedSince}].slice(
			-maxCopies,
		);
		this.#removed = [...this.#removed, ...removed];
		const forgotten = this.#removed.length - maxRemovals;
		if (forgotten > 0) {
			const start = this.#removed[forgotten - 1].revision;
			this.#removed = this.#removed.slice(forgotten);
			this.#copies = this.#copies.filter(({revision}) => revision >= start);
		}
	}

	/** The changes after `since`; undefined if they are not known. */
	changesAfter(since: number): HistoryChanges<T> | undefined {
		if (this.#copies.length === 0) {
			return undefined;
		}

		if (since >= this.contentRevision) {
			return {objects: [], removed: [], changedSince: Infinity};
		}

		const known = this.#copies.findIndex(({revision}) => revision === since);
		if (known === -1) {
			return undefined;
		}

		return {
			objects: [...this.#objects.values()].filter(
				({revision}) => revision > since,
			),
			removed: this.#removed.filter(
				({name, revision}) => revision > since && !this.#objects.has(name),
			),
			changedSince: Math.min(
				...this.#copies.slice(known + 1).map(({changedSince}) => changedSince),
			),
		};
	}
}
