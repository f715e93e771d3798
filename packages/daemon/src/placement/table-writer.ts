/**
 * Writes a service's table by conditional update. After a failed call the table is
 * read back; its `writer` field shows whether the write took effect after all.
 */
import {fold, type SliceTable} from '@kingcuproute/core';
import {Platform, type PlatformError} from '@kingcuproute/platform';
import {inject, singleton} from 'tsyringe';
import {ConfigTask} from '../fleet/config-task.js';
import {Log} from '../log/log.js';

@singleton()
export class TableWriter {
	constructor(
		@inject('Platform') private readonly platform: Platform,
		@inject(ConfigTask) private readonly config: ConfigTask,
		@inject(Log) private readonly log: Log,
	) {}

	/** Replaces the table if it is still at `version`, or creates it if `version` is 0. */
	async write(table: SliceTable, version: number): Promise<void> {
		const {service} = table;
		const written =
			version > 0
				? await this.platform.update('table', service, version, table)
				: await this.platform.create('table', service, table);
		await fold(
			written,
			async (error) => this.#readBack(table, error),
			async (object) => {
				this.log.info('table-written', {service, version: object.version});
				this.config.publish([object]);
			},
		);
	}

	async #readBack(
		{service, writer}: SliceTable,
		error: PlatformError,
	): Promise<void> {
		const read = await this.platform.get('table', service);
		const tookEffect = read.map((object) => {
			this.config.publish([object]);
			return object.value?.writer === writer;
		});
		this.log.warn('table-not-written', {
			service,
			error: error.kind,
			message: error.message,
			tookEffect: tookEffect.orDefault(false),
		});
	}
}
