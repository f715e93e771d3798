/**
 * How far a daemon has read one kind of object. The store counts one revision for all
 * kinds, and a watcher learns of revisions only with its own answers: two daemons with the
 * same objects may have heard of different revisions. So a daemon compares itself with a
 * peer by the revision at which its objects last changed. Its reading never goes back to
 * an earlier one.
 */
export class KindPosition {
	#content = 0;
	#reached = 0;

	/** The newest revision at which the objects are known to have changed. */
	get content(): number {
		return this.#content;
	}

	/** The newest revision as of which the objects are known. */
	get reached(): number {
		return this.#reached;
	}

	/** Records a reading as of `revision`, the objects of which last changed at `content`; returns false if it is behind. */
	advance(revision: number, content: number): boolean {
		if (revision < this.#content) {
			return false;
		}

		this.#content = Math.max(this.#content, content);
		this.#reached = Math.max(this.#reached, revision);
		return true;
	}
}
