/** Logs and counts the decisions about servers' ownership. */
import {
	type GuardianAction,
	type GuardianState,
	type GuardianStatus,
	type TableEdit,
} from '@kingcuproute/core';
import {type Log} from '../log/log.js';
import {type GuardianMetrics} from './guardian-metrics.js';
import {type EditOutcome} from './table-writer.js';

export class GuardianLog {
	readonly #blocked = new Map<string, string>();

	constructor(
		private readonly log: Log,
		private readonly metrics: GuardianMetrics,
	) {}

	/** Logs an action that this daemon is about to take; renewals of leases are only counted. */
	logDecision(state: GuardianState, action: GuardianAction): void {
		const {server, service, standing} = state;
		const fields = {service, server, term: standing.guard?.term};
		switch (action.kind) {
			case 'read': {
				break;
			}

			case 'order': {
				const {grant, revoke} = action.order;
				if (grant.length + revoke.length > 0) {
					this.log.info('slices-ordered', {
						...fields,
						grant: grant.length,
						revoke: revoke.length,
					});
				}

				break;
			}

			case 'ask-release': {
				this.log.info('release-asked', {...fields, of: action.of});
				break;
			}

			case 'edit': {
				this.#logEdit(fields, action.edit, action.reason);
				break;
			}

			case 'publish': {
				const slices = action.succession.rows.length;
				this.log.info('succession-published', {...fields, slices});
				this.metrics.lapses.inc();
				this.metrics.moves.inc({reason: 'succession'}, slices);
				break;
			}

			case 'rank-takeover': {
				this.log.info('takeover-by-rank', {
					...fields,
					reason: 'guardian silent and store down',
				});
				this.metrics.takeovers.inc({how: 'rank'});
				break;
			}
		}
	}

	/** Logs how a table edit ended, and counts the slices moved if it was written. */
	logOutcome(edit: TableEdit, outcome: EditOutcome): void {
		const {kind, server, term} = edit;
		this.log.info('table-edit-settled', {kind, server, term, outcome});
		if (outcome === 'written' && kind !== 'guard') {
			this.metrics.moves.inc({reason: kind}, sliceCount(edit));
		}
	}

	/** Logs when a server becomes blocked, is blocked for another reason, or is no longer blocked. */
	logBlocked({service, server, term, blocked}: GuardianStatus): void {
		const reason = blocked?.reason ?? '';
		if (reason === (this.#blocked.get(server) ?? '')) {
			return;
		}

		this.#blocked.set(server, reason);
		if (blocked) {
			const {endsWhen} = blocked;
			this.log.warn('server-blocked', {
				service,
				server,
				term,
				reason,
				endsWhen,
			});
		} else {
			this.log.info('server-unblocked', {service, server, term});
		}
	}

	#logEdit(
		fields: Readonly<Record<string, string | number | undefined>>,
		edit: TableEdit,
		reason: string,
	): void {
		const guard =
			edit.kind === 'move' || edit.kind === 'hot'
				? {}
				: {guardian: edit.guard.guardian, successor: edit.guard.successor};
		const slices = edit.kind === 'move' ? edit.slices.length : undefined;
		const hot =
			edit.kind === 'hot'
				? {key: edit.change.key, row: edit.change.row, slice: edit.change.slice}
				: {};
		this.log.info('table-edit', {
			...fields,
			kind: edit.kind,
			reason,
			slices,
			...guard,
			...hot,
		});
		if (edit.kind === 'evacuate') {
			this.metrics.lapses.inc();
		}

		if (reason === 'guardian-silent') {
			this.metrics.takeovers.inc({how: 'store'});
		}
	}
}

function sliceCount(edit: TableEdit): number {
	return edit.kind === 'move'
		? edit.slices.length
		: edit.kind === 'evacuate'
			? edit.plan.length
			: 0;
}
