/**
 * Holds what the daemon knows of the platform's objects, however it came: by
 * watch or list, by push from a peer, by digest, or from a task that wrote it.
 */
import {
	Clock,
	Replica,
	View,
	type Held,
	type Pulled,
	type Scope,
	type Span,
} from '@kingcuproute/core';
import {inject, singleton} from 'tsyringe';
import {Log} from '../log/log.js';
import {Task} from '../task/task.js';
import {Topic} from '../task/topic.js';

const maxHandedOn = 100;

/** Objects that were new here, to be handed on. */
export type News = {
	readonly objects: readonly Held[];
	readonly span?: Span;
	/** The daemon whose tree it goes down; this daemon when it is left out. */
	readonly root?: string;
	readonly scope: Scope;
};

/** News as it is handed on, with what was held before it. */
export type HandedOn = News & {readonly before: View};

/** Whether the platform answers, and since when (Unix ms). */
export type StoreState = {readonly up: boolean; readonly since: number};

/** The daemon's copy of the configuration and the tables. */
@singleton()
export class ConfigTask extends Task {
	/** Objects in force here. */
	readonly view = new Topic(View.empty);
	/** Whether the platform answered last time, and since when that holds. */
	readonly store = new Topic<StoreState>({up: false, since: 0});
	/** The last objects to be handed on to peers. */
	readonly news = new Topic<HandedOn>({
		objects: [],
		scope: 'domain',
		before: View.empty,
	});

	/** Up to this version, every change is in force here. */
	readonly version = new Topic(0);
	#replica = Replica.empty;

	constructor(
		@inject('Clock') private readonly clock: Clock,
		@inject(Log) private readonly log: Log,
	) {
		super();
	}

	/** What is held, and up to which version it is whole. */
	get replica(): Replica {
		return this.#replica;
	}

	override async start(): Promise<void> {
		this.log.debug('config-empty');
	}

	override async stop(): Promise<void> {
		this.log.info('config-last', {version: this.#replica.complete});
	}

	/** Takes in objects heard from elsewhere; older ones than those held are passed over. */
	take(objects: readonly Held[]): void {
		this.#hold(this.#replica.with(objects));
	}

	/** Takes in objects that this daemon wrote or decided, and hands them on to the whole fleet. */
	publish(objects: readonly Held[]): void {
		this.tell({objects, scope: 'fleet'});
	}

	/** Takes in news, and hands it on if any of it was new. */
	tell(news: News): void {
		const {span, objects} = news;
		const before = this.#replica;
		const next = span ? before.changed(span, objects) : before.with(objects);
		this.#hold(next);
		if (next !== before) {
			this.news.publish({...news, before: before.view});
		}
	}

	/** Takes in everything there was at `version`; false when more is held already. */
	listed(...listing: Parameters<Replica['listed']>): boolean {
		const before = this.#replica;
		this.#hold(before.listed(...listing));
		return this.#replica !== before;
	}

	/** Takes in what a peer gave; a few changes are handed on, as those nearby may miss them too. */
	pulled(answer: Pulled): void {
		const {whole, objects, since, upto} = answer;
		const before = this.#replica;
		this.#hold(before.pulled(answer));
		if (this.#replica !== before && !whole && objects.length <= maxHandedOn) {
			const span = {since, upto};
			this.news.publish({objects, span, scope: 'domain', before: before.view});
		}
	}

	/** Notes whether the platform answers. */
	setStore(up: boolean, since: number = this.clock.wall()): void {
		if (this.store.value.up !== up) {
			this.log.info(up ? 'store-up' : 'store-down');
			this.store.publish({up, since});
		}
	}

	#hold(replica: Replica): void {
		if (replica.complete > this.#replica.complete) {
			this.log.debug('version-in-force', {version: replica.complete});
		}

		this.#replica = replica;
		this.view.publish(replica.view);
		this.version.publish(replica.complete);
	}
}
