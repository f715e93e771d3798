/**
 * Compares this daemon's settings with those of the fleet. The first daemon writes
 * the fleet's settings into the platform; a later daemon whose settings differ is
 * refused before it makes any promise, since the others would not wait long enough
 * for its promises to expire. Until the comparison is done, a daemon gives no orders,
 * loans or grants: a peer may send it tables before the settings arrive.
 */
import {
	Clock,
	settingDifferences,
	type Cancel,
	type SettingDifference,
	type Millis,
	type View,
} from '@kingcuproute/core';
import {Platform} from '@kingcuproute/platform';
import {inject, singleton} from 'tsyringe';
import {Log} from '../log/log.js';
import {commonSettingsOf} from '../settings/common-settings-of.js';
import {type Settings} from '../settings/settings.js';
import {Task} from '../task/task.js';
import {Topic} from '../task/topic.js';
import {ConfigTask} from './config-task.js';

const kind = 'common-settings';
const objectName = 'fleet';
const createMs: Millis = 500;

@singleton()
export class CommonSettingsTask extends Task {
	/** Differing settings because of which this daemon may not join; empty while it may. */
	readonly refused = new Topic<readonly SettingDifference[]>([]);
	/** Whether this daemon's settings have once been found equal to the fleet's; stays true from then on. */
	readonly agreed = new Topic(false);
	#comparedVersion = 0;
	#cancels: readonly Cancel[] = [];

	constructor(
		@inject(ConfigTask) private readonly config: ConfigTask,
		@inject('Platform') private readonly platform: Platform,
		@inject('Settings') private readonly settings: Settings,
		@inject('Clock') private readonly clock: Clock,
		@inject(Log) private readonly log: Log,
	) {
		super();
	}

	override async start(): Promise<void> {
		this.#cancels = [
			this.config.view.subscribe((view) => {
				this.#compare(view);
			}),
			this.clock.repeat(createMs, () => {
				void this.#writeIfMissing();
			}),
		];
	}

	override async stop(): Promise<void> {
		for (const cancel of this.#cancels) {
			cancel();
		}
	}

	#compare(view: View): void {
		const version = view.versionOf(kind, objectName);
		const fleet = view.get(kind, objectName);
		if (!fleet || version === this.#comparedVersion) {
			return;
		}

		this.#comparedVersion = version;
		const differing = settingDifferences(
			commonSettingsOf(this.settings),
			fleet,
		);
		for (const difference of differing) {
			this.log.error('settings-differ', difference);
		}

		if (differing.length === 0) {
			this.agreed.publish(true);
		} else if (!this.agreed.value) {
			this.refused.publish(differing);
		}
	}

	/** Writes the fleet's settings if there are none; of several daemons that try, one succeeds. */
	async #writeIfMissing(): Promise<void> {
		const isMissing =
			this.config.version.value > 0 &&
			!this.config.view.value.get(kind, objectName);
		if (!isMissing || !this.config.store.value.up) {
			return;
		}

		const value = commonSettingsOf(this.settings);
		const written = await this.platform.create(kind, objectName, value);
		written.ifRight((stored) => {
			this.log.info('common-settings-written', {version: stored.version});
			this.config.publish([stored]);
		});
	}
}
