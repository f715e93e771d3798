/**
 * Holds what the daemon knows of the platform's objects, from whichever source: a
 * watch or list of the platform, a push or pull from a peer, or a task that wrote them.
 */
import {
	Clock,
	Replica,
	View,
	type VersionedObject,
	type PullResult,
	type NewsScope,
	type VersionRange,
} from '@kingcuproute/core';
import {inject, singleton} from 'tsyringe';
import {Log} from '../log/log.js';
import {Task} from '../task/task.js';
import {Topic} from '../task/topic.js';

const maxForwardedLen = 100;

/** Objects to apply here and, if any of them is new, to forward to peers. */
export type News = {
	readonly objects: readonly VersionedObject[];
	readonly range?: VersionRange;
	/** The daemon at the root of the tree that the news is sent down; by default this daemon. */
	readonly root?: string;
	readonly scope: NewsScope;
};

/** News to forward, with the view held before it was applied. */
export type ForwardedNews = News & {readonly viewBefore: View};

/** Whether the platform answers, and since when (Unix ms). */
export type StoreState = {readonly up: boolean; readonly since: number};

/** The daemon's copy of the configuration and the tables. */
@singleton()
export class ConfigTask extends Task {
	/** The objects in force here. */
	readonly view = new Topic(View.empty);
	/** Whether the platform answered the last time, and since when this has been so. */
	readonly store = new Topic<StoreState>({up: false, since: 0});
	/** The latest news to forward to peers. */
	readonly news = new Topic<ForwardedNews>({
		objects: [],
		scope: 'domain',
		viewBefore: View.empty,
	});

	/** The version up to which every change is in force here. */
	readonly version = new Topic(0);
	#replica = Replica.empty;

	constructor(
		@inject('Clock') private readonly clock: Clock,
		@inject(Log) private readonly log: Log,
	) {
		super();
	}

	/** The objects held, and the version up to which they are complete. */
	get replica(): Replica {
		return this.#replica;
	}

	override async start(): Promise<void> {
		this.log.debug('config-empty');
	}

	override async stop(): Promise<void> {
		this.log.info('config-last', {version: this.#replica.complete});
	}

	/** Applies objects without forwarding them; those older than the ones held are ignored. */
	applyObjects(objects: readonly VersionedObject[]): void {
		this.#replace(this.#replica.with(objects));
	}

	/** Applies objects that this daemon wrote or decided, and forwards them to the whole fleet. */
	publish(objects: readonly VersionedObject[]): void {
		this.applyNews({objects, scope: 'fleet'});
	}

	/** Applies news, and forwards it if any of it was new. */
	applyNews(news: News): void {
		const {range, objects} = news;
		const before = this.#replica;
		const next = range
			? before.withChanges(range, objects)
			: before.with(objects);
		this.#replace(next);
		if (next !== before) {
			this.news.publish({...news, viewBefore: before.view});
		}
	}

	/** Applies a full listing of the platform at a version; returns false if it changed nothing because more is held already. */
	applyListing(...listing: Parameters<Replica['withListing']>): boolean {
		const before = this.#replica;
		this.#replace(before.withListing(...listing));
		return this.#replica !== before;
	}

	/** Applies a peer's answer to a pull. A small number of changes is forwarded, as nearby daemons may have missed them too. */
	applyPull(answer: PullResult): void {
		const {whole, objects, since, upto} = answer;
		const before = this.#replica;
		this.#replace(before.withPullAnswer(answer));
		if (
			this.#replica !== before &&
			!whole &&
			objects.length <= maxForwardedLen
		) {
			const range = {since, upto};
			this.news.publish({
				objects,
				range,
				scope: 'domain',
				viewBefore: before.view,
			});
		}
	}

	/** Records whether the platform answers. */
	setStoreUp(up: boolean, since: number = this.clock.wall()): void {
		if (this.store.value.up !== up) {
			this.log.info(up ? 'store-up' : 'store-down');
			this.store.publish({up, since});
		}
	}

	#replace(replica: Replica): void {
		if (replica.complete > this.#replica.complete) {
			this.log.debug('version-in-force', {version: replica.complete});
		}

		this.#replica = replica;
		this.view.publish(replica.view);
		this.version.publish(replica.complete);
	}
}
