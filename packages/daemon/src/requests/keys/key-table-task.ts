/**
 * Keeps this daemon's rows of the key table: asks for loans, lends, takes over
 * from a silent holder, and hands rows on when members change or the daemon stops.
 */
import {
	Clock,
	firstKeyTable,
	keyParts,
	keyTableName,
	KeyTenure,
	partsGivenUp,
	rendezvous,
	withRecords,
	type Cancel,
	type KeyScene,
	type KeyTable,
	type Millis,
	type PartTerm,
} from '@kingcuproute/core';
import {lend, Mesh, type PartTermMessage} from '@kingcuproute/mesh';
import {Platform} from '@kingcuproute/platform';
import {inject, singleton} from 'tsyringe';
import {CommonSettingsTask} from '../../fleet/common-settings-task.js';
import {ConfigTask} from '../../fleet/config-task.js';
import {DutiesTask} from '../../fleet/duties-task.js';
import {Identity} from '../../fleet/identity.js';
import {MembershipTask} from '../../fleet/membership-task.js';
import {Log} from '../../log/log.js';
import {type Settings} from '../../settings/settings.js';
import {Task} from '../../task/task.js';
import {GoneHolders} from './gone-holders.js';
import {KeptKeys} from './kept-keys.js';

const turnMs: Millis = 200;
const marginMs: Millis = 100;
/** Members must be the same for this long before rows move to even out. */
const settleMs: Millis = 5000;
/** How long a daemon that stops tries to hand its parts on. */
const handOnMs: Millis = 3000;
/** What is left of that for giving up parts whose next holder has not answered: two calls and a write. */
const giveUpMs: Millis = 1200;
const retryMs: Millis = 50;

@singleton()
export class KeyTableTask extends Task {
	readonly #tenure: KeyTenure;
	#cancel: Cancel | undefined;
	#stopListening: (() => void) | undefined;
	#membersSince: Millis;
	#writing = false;

	constructor(
		@inject('Platform') private readonly platform: Platform,
		@inject('Mesh') private readonly mesh: Mesh,
		@inject(ConfigTask) private readonly config: ConfigTask,
		@inject(MembershipTask) private readonly membership: MembershipTask,
		@inject(CommonSettingsTask) private readonly common: CommonSettingsTask,
		@inject(DutiesTask) private readonly duties: DutiesTask,
		@inject(Identity) private readonly self: Identity,
		@inject(KeptKeys) private readonly kept: KeptKeys,
		@inject(GoneHolders) private readonly gone: GoneHolders,
		@inject('Settings') settings: Settings,
		@inject('Clock') private readonly clock: Clock,
		@inject(Log) private readonly log: Log,
	) {
		super();
		const {loanMs} = settings.keys;
		this.#tenure = new KeyTenure(self, {loanMs, marginMs});
		this.#membersSince = clock.now();
		mesh.serve(lend, ({holder, parts}) => ({
			parts: [...this.#lend(holder ?? '', parts ?? [])],
		}));
	}

	/** The table in force here, if there is one. */
	get table(): KeyTable | undefined {
		return this.config.view.value.get('key-table', keyTableName);
	}

	override async start(): Promise<void> {
		this.#stopListening = this.duties.duties.subscribe(() => {
			this.#membersSince = this.clock.now();
		});
		this.#cancel = this.clock.repeat(turnMs, () => {
			void this.#turn();
		});
	}

	override async stop(): Promise<void> {
		this.#cancel?.();
		this.#stopListening?.();
		const until = this.clock.now() + handOnMs;
		const stopBorrowing = this.clock.repeat(turnMs, () => {
			if (this.table && until - this.clock.now() > giveUpMs) {
				void this.#borrow(this.table, true);
			}
		});
		await this.#leave(until);
		stopBorrowing();
	}

	/** Whether this daemon may grant keys of `part` now. */
	mayGrant(part: number): boolean {
		const {table} = this;
		return (
			table !== undefined &&
			this.common.agreed.value &&
			this.#tenure.mayGrant(table, part, this.clock.now())
		);
	}

	async #turn(): Promise<void> {
		const {table} = this;
		if (!this.common.agreed.value) {
			return;
		}

		if (table) {
			void this.#borrow(table);
		}

		if (this.#writing || !this.config.store.value.up) {
			return;
		}

		this.#writing = true;
		try {
			await (table ? this.#plan(table, this.#scene()) : this.#create());
		} finally {
			this.#writing = false;
		}
	}

	/** Hands every part on, so that a planned stop loses no record; without the store or another daemon nothing can be. */
	async #leave(until: Millis): Promise<void> {
		while (this.clock.now() < until) {
			const {table} = this;
			const scene = this.#sceneAfter();
			const mayWrite = this.config.store.value.up && scene.members.length > 0;
			const holds = table?.rows.some(({holder}) => holder === this.self.id);
			if (!table || !holds || !mayWrite) {
				return;
			}

			const keeps = until - this.clock.now() > giveUpMs;
			if (!this.#writing) {
				await this.#plan(table, scene, keeps);
			}

			await this.clock.sleep(retryMs);
		}
	}

	async #borrow(table: KeyTable, handingOn = false): Promise<void> {
		const members = this.membership.members.value;
		await Promise.all(
			members.map(async ({id, address}) => {
				const parts = this.#tenure.asks(table, id, handingOn);
				if (parts.length > 0) {
					await this.#ask(address, parts);
				}
			}),
		);
	}

	async #ask(address: string, parts: readonly PartTerm[]): Promise<void> {
		const askedAt = this.clock.now();
		const question = {holder: this.self.id, parts: [...parts]};
		const answer = await this.mesh.call(address, lend, question, turnMs * 2);
		answer.ifRight(({parts: lent}) => {
			this.#tenure.borrowed(partTerms(lent ?? []), askedAt);
		});
	}

	#lend(
		holder: string,
		parts: readonly PartTermMessage[],
	): readonly PartTerm[] {
		const {table} = this;
		return table && this.common.agreed.value
			? this.#tenure.lend(table, holder, partTerms(parts), this.clock.now())
			: [];
	}

	async #create(): Promise<void> {
		const {members} = this.duties.duties.value;
		const [first] = rendezvous(
			'key-table',
			members.map(({id}) => id),
		);
		if (first !== this.self.id || this.config.view.value.version === 0) {
			return;
		}

		const table = firstKeyTable(keyParts, members, this.clock.wall());
		const written = await this.platform.create(
			'key-table',
			keyTableName,
			table,
		);
		written.ifRight((held) => {
			this.config.take([held]);
			this.log.info('key-table-created', {version: held.version});
		});
	}

	/** With `keepsUnheard`, parts whose next holder does not take their records stay for now. */
	async #plan(
		table: KeyTable,
		scene: KeyScene,
		keepsUnheard = false,
	): Promise<void> {
		const version = this.config.view.value.versionOf('key-table', keyTableName);
		await this.gone.list(table);
		const planned = this.#tenure.plan(table, scene);
		if (!planned) {
			return;
		}

		const handedOn = await this.#handOn(table, planned);
		const next = withRecords(
			table,
			keepsUnheard ? this.#keeping(table, planned, handedOn) : planned,
			handedOn,
		);
		if (changedRows(table, next) === 0) {
			return;
		}

		const written = await this.platform.update(
			'key-table',
			keyTableName,
			version,
			next,
		);
		written
			.ifLeft(({kind, message}) => {
				this.log.warn('key-table-not-written', {kind, message});
			})
			.ifRight((held) => {
				this.config.take([held]);
				this.log.info('key-table-written', {
					version: held.version,
					rows: changedRows(table, next),
				});
			});
	}

	/** Gives the records of parts that this daemon gives up to their next holders; gives the parts whose records are there. */
	async #handOn(
		before: KeyTable,
		next: KeyTable,
	): Promise<ReadonlySet<number>> {
		const members = this.membership.members.value;
		const handedOn = new Set<number>();
		const givenUp = partsGivenUp(before, next, this.self.id);
		for (const [holder, parts] of givenUp) {
			const address = members.find(({id}) => id === holder)?.address ?? '';
			const count = next.rows.length;
			if (await this.kept.handOn(address, new Set(parts), count)) {
				for (const part of parts) handedOn.add(part);
			}
		}

		return handedOn;
	}

	/** `next`, but for the parts that this daemon would give up without their records. */
	#keeping(
		before: KeyTable,
		next: KeyTable,
		handedOn: ReadonlySet<number>,
	): KeyTable {
		const givenUp = partsGivenUp(before, next, this.self.id);
		const kept = new Set(
			[...givenUp.values()].flat().filter((part) => !handedOn.has(part)),
		);
		const rows = next.rows.map((row, part) =>
			kept.has(part) ? before.rows[part] : row,
		);
		return {...next, rows};
	}

	#scene(): KeyScene {
		const now = this.clock.now();
		return {
			now,
			wall: this.clock.wall(),
			members: this.duties.duties.value.members,
			settled: now - this.#membersSince > settleMs,
			isGone: (id, since) => this.gone.has(id, since),
		};
	}

	/** How things stand once this daemon has stopped. */
	#sceneAfter(): KeyScene {
		const scene = this.#scene();
		const members = scene.members.filter(({id}) => id !== this.self.id);
		return {...scene, members, settled: true};
	}
}

function partTerms(parts: readonly PartTermMessage[]): readonly PartTerm[] {
	return parts.map(({part, term}) => ({part: part ?? 0, term: term ?? 0}));
}

function changedRows(from: KeyTable, to: KeyTable): number {
	return to.rows.filter((row, part) => row !== from.rows[part]).length;
}
