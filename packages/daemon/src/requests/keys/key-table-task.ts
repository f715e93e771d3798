/**
 * Maintains this daemon's rows of the key table: borrows and lends key parts, takes rows
 * over from a holder that went silent, and transfers rows when the members change or this
 * daemon stops.
 */
import {
	Clock,
	initialKeyTable,
	keyPartCount,
	keyTableName,
	KeyTenure,
	partsGivenUp,
	rendezvous,
	withTransferredRecords,
	type Cancel,
	type KeyPlanContext,
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

const tickMs: Millis = 200;
const marginMs: Millis = 100;
/** The members must not have changed for this long before rows are moved to balance them. */
const settleMs: Millis = 5000;
/** How long a stopping daemon tries to transfer its parts. */
const transferMs: Millis = 3000;
/**
 * The last part of `transferMs`, in which parts are given up even if their next holder
 * has not taken the records: time for two calls and a write.
 */
const giveUpMs: Millis = 1200;
const transferRetryMs: Millis = 50;
/** Longer than another daemon takes to give up parts whose records it has transferred here. */
const arrivalMs: Millis = 1000;

@singleton()
export class KeyTableTask extends Task {
	readonly #tenure: KeyTenure;
	#cancel: Cancel | undefined;
	#unsubscribe: (() => void) | undefined;
	/** When the members last changed, or a part last could not be moved. */
	#unsettledAt: Millis;
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
		this.#unsettledAt = clock.now();
		mesh.serve(lend, ({holder, parts}) => ({
			parts: [...this.#lend(holder ?? '', parts ?? [])],
		}));
	}

	/** The key table in force at this daemon, if there is one. */
	get table(): KeyTable | undefined {
		return this.config.view.value.get('key-table', keyTableName);
	}

	override async start(): Promise<void> {
		this.#unsubscribe = this.duties.duties.subscribe(() => {
			this.#unsettledAt = this.clock.now();
		});
		this.#cancel = this.clock.repeat(tickMs, () => {
			void this.#tick();
		});
	}

	override async stop(): Promise<void> {
		this.#cancel?.();
		this.#unsubscribe?.();
		this.kept.refuseTransfers();
		const until = this.clock.now() + transferMs;
		const cancelBorrowing = this.clock.repeat(tickMs, () => {
			if (this.table && until - this.clock.now() > giveUpMs) {
				void this.#borrow(this.table, true);
			}
		});
		await this.#transferAll(until);
		cancelBorrowing();
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

	async #tick(): Promise<void> {
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
			await (table ? this.#plan(table, this.#context()) : this.#create());
		} finally {
			this.#writing = false;
		}
	}

	/**
	 * Transfers every part, also those that are still on their way here, so that a planned
	 * stop loses no record. Without the store or another daemon, nothing can be transferred.
	 */
	async #transferAll(until: Millis): Promise<void> {
		while (this.clock.now() < until) {
			const {table} = this;
			const context = this.#contextAfterStop();
			const mayWrite = this.config.store.value.up && context.members.length > 0;
			const holds = table?.rows.some(({holder}) => holder === this.self.id);
			const expectsParts = this.clock.now() - this.kept.receivedAt < arrivalMs;
			if (!table || !mayWrite || (!holds && !expectsParts)) {
				return;
			}

			const keepsUntransferred = until - this.clock.now() > giveUpMs;
			if (holds && !this.#writing) {
				await this.#plan(table, context, keepsUntransferred);
			}

			await this.clock.sleep(transferRetryMs);
		}
	}

	async #borrow(table: KeyTable, stopping = false): Promise<void> {
		const members = this.membership.members.value;
		await Promise.all(
			members.map(async ({id, address}) => {
				const parts = this.#tenure.asks(table, id, stopping);
				if (parts.length > 0) {
					await this.#ask(address, parts);
				}
			}),
		);
	}

	async #ask(address: string, parts: readonly PartTerm[]): Promise<void> {
		const askedAt = this.clock.now();
		const request = {holder: this.self.id, parts: [...parts]};
		const answer = await this.mesh.call(address, lend, request, tickMs * 2);
		answer.ifRight(({parts: lent}) => {
			this.#tenure.addLoans(partTerms(lent ?? []), askedAt);
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

		const table = initialKeyTable(keyPartCount, members, this.clock.wall());
		const written = await this.platform.create(
			'key-table',
			keyTableName,
			table,
		);
		written.ifRight((stored) => {
			this.config.applyObjects([stored]);
			this.log.info('key-table-created', {version: stored.version});
		});
	}

	/**
	 * Plans and writes the next table. With `keepsUntransferred`, parts whose next holder
	 * has not taken their records stay here, and are not moved again until the members
	 * are settled anew.
	 */
	async #plan(
		table: KeyTable,
		context: KeyPlanContext,
		keepsUntransferred = true,
	): Promise<void> {
		const version = this.config.view.value.versionOf('key-table', keyTableName);
		await this.gone.list(table);
		const planned = this.#tenure.plan(table, context);
		if (!planned) {
			return;
		}

		const {transferred, untransferred} = await this.#transferRecords(
			table,
			planned,
		);
		if (untransferred.size > 0) {
			this.#unsettledAt = this.clock.now();
		}

		const next = withTransferredRecords(
			table,
			keepsUntransferred
				? withoutParts(table, planned, untransferred)
				: planned,
			transferred,
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
			.ifRight((stored) => {
				this.config.applyObjects([stored]);
				this.log.info('key-table-written', {
					version: stored.version,
					rows: changedRows(table, next),
				});
			});
	}

	/**
	 * Transfers the records of the parts that this daemon gives up to their next holders;
	 * returns the parts whose records were taken, and those whose were not.
	 */
	async #transferRecords(before: KeyTable, next: KeyTable) {
		const members = this.membership.members.value;
		const transferred = new Set<number>();
		const untransferred = new Set<number>();
		const givenUp = partsGivenUp(before, next, this.self.id);
		for (const [holder, parts] of givenUp) {
			const address = members.find(({id}) => id === holder)?.address ?? '';
			const count = next.rows.length;
			const isTaken = await this.kept.transfer(address, new Set(parts), count);
			const outcome = isTaken ? transferred : untransferred;
			for (const part of parts) outcome.add(part);
		}

		return {transferred, untransferred};
	}

	#context(): KeyPlanContext {
		const now = this.clock.now();
		return {
			now,
			wall: this.clock.wall(),
			members: this.duties.duties.value.members,
			settled: now - this.#unsettledAt > settleMs,
			isGone: (id, since) => this.gone.has(id, since),
		};
	}

	/** The context of a plan for the time after this daemon has stopped. */
	#contextAfterStop(): KeyPlanContext {
		const context = this.#context();
		const members = context.members.filter(({id}) => id !== this.self.id);
		return {...context, members, settled: true};
	}
}

function partTerms(parts: readonly PartTermMessage[]): readonly PartTerm[] {
	return parts.map(({part, term}) => ({part: part ?? 0, term: term ?? 0}));
}

/** `next` without its changes to `parts`. */
function withoutParts(
	before: KeyTable,
	next: KeyTable,
	parts: ReadonlySet<number>,
): KeyTable {
	const rows = next.rows.map((row, part) =>
		parts.has(part) ? before.rows[part] : row,
	);
	return {...next, rows};
}

function changedRows(from: KeyTable, to: KeyTable): number {
	return to.rows.filter((row, part) => row !== from.rows[part]).length;
}
