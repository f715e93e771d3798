/** The simulated store: one table with conditional updates, outages, and answers lost after the write. */
import {
	applyEdit,
	sliceCount,
	type VersionedObject,
	type SliceTable,
	type TableEdit,
} from '../../src/index.js';
import {type Conditions} from './model-conditions.js';
import {service, type ModelDaemon} from './model-daemon.js';
import {type ModelNetwork} from './model-network.js';

const retryMs = 300;

export type ModelStoreParts = {
	readonly network: ModelNetwork;
	readonly conditions: Conditions;
	readonly servers: readonly string[];
	/** Called with every table, including the first. */
	readonly written: (table: SliceTable) => void;
	/** The daemons that currently watch the store. */
	readonly watchers: () => readonly ModelDaemon[];
};

export class ModelStore {
	outageUntil = -1;
	loseAnswersUntil = -1;
	#version = 1;

	constructor(
		private readonly parts: ModelStoreParts,
		public table: SliceTable,
	) {
		parts.written(table);
		this.#notifyWatchers();
	}

	get isUp(): boolean {
		return this.parts.network.at >= this.outageUntil;
	}

	heal(): void {
		this.outageUntil = -1;
		this.loseAnswersUntil = -1;
	}

	/** The objects that a reader receives. */
	held(): readonly VersionedObject[] {
		const {checksFence} = this.parts.conditions;
		const {table} = this;
		const value = {
			service,
			slices: sliceCount(table),
			slots: 1,
			connections: 1,
			checksFence,
			deadlineMs: 1,
			slowStartMs: 0,
		};
		return [
			{kind: 'service', name: service, version: 1, value},
			{kind: 'table', name: service, version: this.#version, value: table},
		];
	}

	/** Replaces the table, and gives every row with an owner a standby. */
	put(table: SliceTable): void {
		const {servers, written} = this.parts;
		const rows = table.rows.map((row) =>
			row.owner !== '' && (row.standby === '' || row.standby === row.owner)
				? {...row, standby: servers.find((name) => name !== row.owner)!}
				: row,
		);
		this.table = {...table, rows};
		written(this.table);
		this.#version++;
		this.#notifyWatchers();
	}

	/** Writes the planner's table, if there is one and the store is up. */
	plan(table: SliceTable | undefined): void {
		if (table && this.isUp) {
			this.put(table);
		}
	}

	/** Sends a daemon the newest objects. */
	read(daemon: ModelDaemon): void {
		const {network} = this.parts;
		const objects = this.held();
		network.toDaemon('store', daemon, () => {
			daemon.receive(objects, network.at);
		});
	}

	/** Tries to write at `version`; if unanswered, reads the newest table and applies the edit again. */
	write(daemon: ModelDaemon, edit: TableEdit, version: number): void {
		const table = daemon.view.get('table', service)!;
		const next = applyEdit(table, edit);
		// No earlier attempt can still be written: a store that refuses leaves nothing pending.
		if (!next || !this.isUp) {
			daemon.handle(edit.server, {kind: 'settled', edit});
			return;
		}

		let answered = false;
		const settled = () => {
			answered = true;
			daemon.handle(edit.server, {kind: 'settled', edit});
		};

		const readBack = () => {
			if (answered || daemon.pausedUntil === Infinity) {
				return;
			}

			const held = daemon.view.versionOf('table', service);
			if (held > version) {
				answered = true;
				this.write(daemon, edit, held);
			} else {
				this.parts.network.after(retryMs, readBack);
				if (this.isUp) {
					this.read(daemon);
					// The first attempt is still pending, so a refusal of this one settles nothing.
					this.#update(daemon, next, version, {
						written: settled,
						refused: () => undefined,
					});
				}
			}
		};

		this.#update(daemon, next, version, {written: settled, refused: settled});
		this.parts.network.after(retryMs, readBack);
	}

	/** Sends the table to every watcher; each message may be late or lost. */
	#notifyWatchers(): void {
		const {network, watchers} = this.parts;
		const objects = this.held();
		for (const daemon of watchers()) {
			network.send('store', daemon.id, () => {
				daemon.receive(objects, network.at);
			});
		}
	}

	#update(
		daemon: ModelDaemon,
		table: SliceTable,
		version: number,
		{written, refused}: Readonly<Record<'written' | 'refused', () => void>>,
	): void {
		const {network} = this.parts;
		// A call has one outcome, however often its message arrives.
		let isDone = false;
		network.send(daemon.id, 'store', () => {
			if (isDone || version !== this.#version) {
				return;
			}

			isDone = true;
			if (!this.isUp) {
				network.toDaemon('store', daemon, refused);
				return;
			}

			this.put(table);
			const objects = this.held();
			if (network.at >= this.loseAnswersUntil) {
				network.toDaemon('store', daemon, () => {
					daemon.receive(objects, network.at);
					written();
				});
			}
		});
	}
}
