/**
 * How far a daemon has read one kind of object. The store counts one revision for all
 * kinds, and a watcher learns of revisions only with its own answers: two daemons with the
 * same objects may have heard of different revisions. So a daemon compares itself with a
 * peer by the revision at which its objects last changed. Its reading never goes back to
 * an earlier one. A reading counts once its reader asks from it: one that was given to the
 * reader too late is dropped there.
 */
export class KindPosition {
	#content = 0;
	#reached = 0;
	/** Content revisions of the readings that may have been taken, by their revisions. */
	readonly #offers = new Map<number, number>();
	#isNew = true;

	/** Whether nothing has been read yet. */
	get isNew(): boolean {
		return this.#isNew;
	}

	/** The newest revision at which the objects that were taken are known to have changed. */
	get content(): number {
		return this.#content;
	}

	/** The revision as of which they are known. */
	get reached(): number {
		return this.#reached;
	}

	/** Records a reading as of `revision`, the objects of which last changed at `content`; returns false if it is behind what was taken. */
	offer(revision: number, content: number): boolean {
		if (revision < this.#content) {
			return false;
		}

		this.#isNew = false;
		const offered = Math.max(revision, this.#reached);
		this.#offers.set(offered, Math.max(this.#content, content));
		return true;
	}

	/** Records that the reader has the objects as of `revision`. */
	take(revision: number): void {
		// Of a reading that is not known the whole time until its revision may hold changes.
		const unoffered = revision === this.#reached ? this.#content : revision;
		// A list of another watcher may be as of a revision that was reached before, and name a later change.
		this.#content = this.#offers.get(revision) ?? unoffered;
		this.#reached = revision;
		this.#offers.clear();
	}
}
