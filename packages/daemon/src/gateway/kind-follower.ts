/** Keeps a copy of every object of one kind in the platform's store, by one list and long polls from there on. */
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
/** Between two tries while the store does not answer; spread, since all daemons try. */
const retryMs: Millis = 300;

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
	#revision: number | undefined;
	#isUp: boolean | undefined;
	#stopped = false;

	constructor(
		private readonly kind: string,
		private readonly means: FollowerMeans,
	) {}

	start(): void {
		void this.#run();
	}

	stop(): void {
		this.#stopped = true;
	}

	async #run(): Promise<void> {
		while (!this.#stopped) {
			const error =
				this.#revision === undefined
					? await this.#list()
					: await this.#watch(this.#revision);
			this.#note(error);
			if (error !== undefined) {
				await this.means.clock.sleep(this.means.random.jitter(retryMs));
			}
		}
	}

	async #list(): Promise<string | undefined> {
		const listing = await this.means.store.list(this.kind);
		return fold(
			listing,
			(error): string | undefined => shownError(error),
			({revision, objects}) => {
				this.#revision = revision;
				this.objects.publish(
					new Map(objects.map((object) => [object.name, object])),
				);
				return undefined;
			},
		);
	}

	async #watch(since: number): Promise<string | undefined> {
		const news = await this.means.store.watch(this.kind, since, waitMs);
		return fold(
			news,
			(error): string | undefined => {
				if (error.kind === 'expired') {
					this.#revision = undefined;
					return undefined;
				}

				return shownError(error);
			},
			({revision, changes}) => {
				this.#revision = Math.max(since, revision);
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

	#note(error: string | undefined): void {
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
