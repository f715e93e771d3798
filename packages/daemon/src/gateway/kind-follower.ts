/**
 * Keeps a copy of every object of one kind in the platform's store, by one list and
 * long polls from there on, or, where nobody needs the news at once, by a list now and
 * then.
 */
import {fold, type Clock, type Millis, type Random} from '@kingcuproute/core';
import {
	shownError,
	type ObjectStore,
	type StoredObject,
} from '@kingcuproute/platform';
import {type Log} from '../log/log.js';
import {Topic} from '../task/topic.js';

/** Short enough to notice within a few seconds that a connection has gone silent. */
const waitMs: Millis = 5000;
/** While the store does not answer: a call that hangs then is given up soon, so that news come soon after its return. */
const probeMs: Millis = 500;
/** Between two lists of a kind that is followed slowly; spread, since all daemons do. */
const slowMs: Millis = 5000;
/** How soon a follower notices that it is to be quick again. */
const paceCheckMs: Millis = 500;
/** How old news of a kind that is followed slowly may be, beside a failed call: the spread goes up to half as much again. */
export const slowNewsMs: Millis = 1.5 * slowMs + paceCheckMs;
/** Between two tries while the store does not answer; spread, since all daemons try. */
const retryMs: Millis = 500;

const maxNamesLogged = 10;

export type Objects = ReadonlyMap<string, StoredObject>;

export type FollowerMeans = {
	readonly store: ObjectStore;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
};

export class KindFollower {
	/** Undefined until the kind was read once. */
	readonly objects = new Topic<Objects | undefined>(undefined);
	/** Whether news may be seconds late, at a fraction of the calls. */
	slow = false;
	/** How long news may wait for others that come close to them, so that one call brings all. */
	gatherMs: Millis = 0;
	#hasNews = false;
	#lastFailureAt: Millis = -Infinity;
	#revision: number | undefined;
	#isUp: boolean | undefined;
	#stopped = false;
	/** Names of objects that cannot be read, each logged once. */
	#unreadable: ReadonlySet<string> = new Set();

	constructor(
		private readonly kind: string,
		private readonly means: FollowerMeans,
	) {}

	/** When a call last failed. */
	get lastFailureAt(): Millis {
		return this.#lastFailureAt;
	}

	start(): void {
		void this.#run();
	}

	stop(): void {
		this.#stopped = true;
	}

	async #run(): Promise<void> {
		while (!this.#stopped) {
			const isSlow = this.slow && this.objects.value !== undefined;
			if (isSlow) {
				await this.#idle();
			}

			const error = await this.#turn(isSlow);
			this.#note(error);
			if (error !== undefined) {
				await this.means.clock.sleep(this.means.random.jitter(retryMs));
			} else if (this.#hasNews && this.gatherMs > 0) {
				await this.means.clock.sleep(this.gatherMs);
			}
		}
	}

	/** One call to the store; what goes wrong in taking its answer in is told like a failed call. */
	async #turn(isSlow: boolean): Promise<string | undefined> {
		try {
			return this.#revision === undefined || isSlow
				? await this.#list(isSlow)
				: await this.#watch(this.#revision);
		} catch (error) {
			const {message, stack} = error as Error;
			return `not taken in: ${stack ?? message}`;
		}
	}

	/** Waits for the next slow list, or until news are wanted quickly again. */
	async #idle(): Promise<void> {
		const {clock, random} = this.means;
		const until = clock.now() + random.jitter(slowMs);
		while (this.slow && !this.#stopped && clock.now() < until) {
			await clock.sleep(paceCheckMs);
		}
	}

	async #list(stale: boolean): Promise<string | undefined> {
		const listing = await this.means.store.list(this.kind, stale);
		return fold(
			listing,
			(error): string | undefined => shownError(error),
			({revision, objects, unreadable = []}) => {
				if (revision < (this.#revision ?? 0)) {
					return undefined;
				}

				this.#noteUnreadable(unreadable);
				this.#unreadable = new Set(unreadable);

				this.#revision = revision;
				this.objects.publish(
					new Map(objects.map((object) => [object.name, object])),
				);
				return undefined;
			},
		);
	}

	async #watch(since: number): Promise<string | undefined> {
		const forMs = this.#isUp === false ? probeMs : waitMs;
		const news = await this.means.store.watch(this.kind, since, forMs);
		return fold(
			news,
			(error): string | undefined => {
				// What cannot be read stays in the history; a list may be free of it.
				if (error.kind === 'expired' || error.kind === 'unreadable') {
					this.#revision = undefined;
				}

				return error.kind === 'expired' ? undefined : shownError(error);
			},
			({revision, changes, unreadable = []}) => {
				this.#revision = Math.max(since, revision);
				this.#noteUnreadable(unreadable);
				this.#unreadable = new Set([...this.#unreadable, ...unreadable]);
				this.#hasNews = changes.length > 0;
				if (changes.length > 0) {
					const objects = new Map(this.objects.value);
					for (const {object, removed} of changes) {
						if (removed) {
							objects.delete(object.name);
						} else {
							objects.set(object.name, object);
						}
					}

					this.objects.publish(objects);
				}

				return undefined;
			},
		);
	}

	#noteUnreadable(names: readonly string[]): void {
		const news = names.filter((name) => !this.#unreadable.has(name));
		if (news.length > 0) {
			const {kind} = this;
			this.means.log.warn('objects-unreadable', {
				kind,
				count: news.length,
				names: news.slice(0, maxNamesLogged).join(','),
			});
		}
	}

	#note(error: string | undefined): void {
		if (error !== undefined) {
			this.#lastFailureAt = this.means.clock.now();
		}

		const isUp = error === undefined;
		if (isUp === this.#isUp) {
			return;
		}

		this.#isUp = isUp;
		const {kind} = this;
		if (error === undefined) {
			this.means.log.info('store-heard', {kind, revision: this.#revision});
		} else {
			this.means.log.warn('store-lost', {
				kind,
				revision: this.#revision,
				error,
			});
		}
	}
}
