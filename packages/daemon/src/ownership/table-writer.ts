/**
 * Writes guardians' edits to one service's table, all pending ones in one conditional
 * update. After a conflict they are applied again to the newest table. After a lost
 * answer the outcome is unknown until a newer version is seen: the update is retried
 * only at the same version, so that at most one attempt takes effect.
 */
import {
	applyEdit,
	fold,
	type Clock,
	type VersionedObject,
	type Millis,
	type Random,
	type SliceTable,
	type TableEdit,
} from '@kingcuproute/core';
import {type Platform, type PlatformError} from '@kingcuproute/platform';
import {type ConfigTask} from '../fleet/config-task.js';
import {type Log} from '../log/log.js';

/** Pause before the next write once a newer version has been read. */
const retryMs: Millis = 30;
/** Pause while the store does not answer or still shows the old version. */
const downRetryMs: Millis = 150;
/** The store counts as down while an update has waited this long for its answer. */
const slowMs: Millis = 400;
/** How long the store counts as down after a failed call. */
const downMs: Millis = 500;

/** How an edit ended: written to the table, no longer applicable because of another change, or not written because the call to the store failed. */
export type EditOutcome = 'written' | 'overtaken' | 'unwritten';

export type TableWriterParts = {
	readonly service: string;
	readonly daemon: string;
	readonly platform: Platform;
	readonly config: ConfigTask;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	/** Called once for each edit that has ended. */
	readonly onSettled: (edit: TableEdit, outcome: EditOutcome) => void;
};

export class TableWriter {
	#pending: readonly TableEdit[] = [];
	#busy = false;
	#writes = 0;
	/** The version at which an update with a lost answer may still take effect; 0 for none. */
	#uncertainVersion = 0;
	#sentAt: Millis = Infinity;
	#failedAt: Millis = -Infinity;

	constructor(private readonly parts: TableWriterParts) {}

	/** Whether the store answers, as far as this writer can tell. */
	get storeUp(): boolean {
		const now = this.parts.clock.now();
		return now - this.#sentAt < slowMs && now - this.#failedAt > downMs;
	}

	/** Queues an edit; it ends with `onSettled`. */
	enqueue(edit: TableEdit): void {
		this.#pending = [...this.#pending, edit];
		if (!this.#busy) {
			void this.#drain();
		}
	}

	async #drain(): Promise<void> {
		this.#busy = true;
		while (this.#pending.length > 0) {
			const pauseMs = await this.#write();
			if (pauseMs > 0) {
				await this.parts.clock.sleep(this.parts.random.jitter(pauseMs));
			}
		}

		this.#busy = false;
	}

	/** Sends one update; returns how long to pause before the next. */
	async #write(): Promise<Millis> {
		const {service, daemon, platform, config} = this.parts;
		const version = config.view.value.versionOf('table', service);
		if (version > this.#uncertainVersion) {
			this.#uncertainVersion = 0;
		}

		const batch = this.#batch();
		if (!batch) {
			return 0;
		}

		const writer = `${daemon}/${++this.#writes}`;
		const table = {...batch.table, writer};
		this.#sentAt = this.parts.clock.now();
		const written = await platform.update('table', service, version, table);
		this.#sentAt = Infinity;
		return fold(
			written,
			async (error) => this.#failed(error, version, batch.edits),
			async (object) => {
				this.#wrote(object, batch.edits);
				return 0;
			},
		);
	}

	/** Applies the pending edits to the newest table; those that no longer apply are settled as overtaken. */
	#batch():
		| {readonly table: SliceTable; readonly edits: readonly TableEdit[]}
		| undefined {
		let table = this.parts.config.view.value.get('table', this.parts.service);
		const edits: TableEdit[] = [];
		const overtaken: TableEdit[] = [];
		for (const edit of this.#pending) {
			const next = table && applyEdit(table, edit);
			table = next ?? table;
			(next ? edits : overtaken).push(edit);
		}

		this.#settle(overtaken, 'overtaken');
		return table && edits.length > 0 ? {table, edits} : undefined;
	}

	#wrote(object: VersionedObject, edits: readonly TableEdit[]): void {
		this.#uncertainVersion = 0;
		this.parts.config.publish([object]);
		this.#settle(edits, 'written');
	}

	async #failed(
		error: PlatformError,
		version: number,
		edits: readonly TableEdit[],
	): Promise<Millis> {
		const {service, log, clock} = this.parts;
		log.info('table-write-failed', {
			service,
			version,
			kind: error.kind,
			error: error.message,
		});
		if (error.kind === 'conflict') {
			return this.#readBack(version);
		}

		this.#failedAt = clock.now();
		if (error.kind === 'unknown') {
			this.#uncertainVersion = version;
			return this.#readBack(version);
		}

		if (this.#uncertainVersion === 0) {
			this.#settle(edits, 'unwritten');
			return 0;
		}

		return downRetryMs;
	}

	async #readBack(version: number): Promise<Millis> {
		const {platform, config, service, clock} = this.parts;
		const read = await platform.get('table', service);
		return fold(
			read,
			() => {
				this.#failedAt = clock.now();
				return downRetryMs;
			},
			(newest) => {
				config.publish([newest]);
				return newest.version > version ? retryMs : downRetryMs;
			},
		);
	}

	#settle(edits: readonly TableEdit[], outcome: EditOutcome): void {
		this.#pending = this.#pending.filter((edit) => !edits.includes(edit));
		for (const edit of edits) {
			this.parts.onSettled(edit, outcome);
		}
	}
}
