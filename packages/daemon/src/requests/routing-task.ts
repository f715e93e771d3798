/** Holds the routes of the newest configuration view and notifies subscribers of changes. */
import {Clock, type Millis} from '@kingcuproute/core';
import {inject, singleton} from 'tsyringe';
import {ConfigTask} from '../fleet/config-task.js';
import {Task} from '../task/task.js';
import {Topic} from '../task/topic.js';
import {Routing} from './route.js';

@singleton()
export class RoutingTask extends Task {
	readonly routing: Topic<Routing>;
	#unsubscribe: (() => void) | undefined;

	constructor(
		@inject(ConfigTask) private readonly config: ConfigTask,
		@inject('Clock') private readonly clock: Clock,
	) {
		super();
		this.routing = new Topic(Routing.of(config.view.value));
	}

	override async start(): Promise<void> {
		this.routing.publish(Routing.of(this.config.view.value));
		this.#unsubscribe = this.config.view.subscribe((view) => {
			this.routing.publish(Routing.of(view));
		});
	}

	override async stop(): Promise<void> {
		this.#unsubscribe?.();
	}

	/** Resolves at the next change of routes, or after `ms` at the latest. */
	async changed(ms: Millis): Promise<void> {
		await new Promise<void>((resolve) => {
			const cancel = this.clock.after(ms, () => {
				unsubscribe();
				resolve();
			});
			const unsubscribe = this.routing.subscribe(() => {
				unsubscribe();
				cancel();
				resolve();
			});
		});
	}
}
