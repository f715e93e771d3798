/**
 * Idempotency keys. Claims the key of a request from the holder of the key's part, and
 * answers the claims for the parts that this daemon holds.
 */
import {
	Clock,
	fold,
	mintedAt,
	partOf,
	type Claim,
	type Millis,
	type Refusal,
	type ClaimVerdict,
} from '@kingcuproute/core';
import {claim, Mesh, releaseKey} from '@kingcuproute/mesh';
import {inject, singleton} from 'tsyringe';
import {Identity} from '../../fleet/identity.js';
import {MembershipTask} from '../../fleet/membership-task.js';
import {Task} from '../../task/task.js';
import {KeptKeys} from './kept-keys.js';
import {KeyTableTask} from './key-table-task.js';

const callMs: Millis = 300;
const pauseMs: Millis = 50;
const minLeftMs: Millis = 50;
const retryAfterMs: Millis = 500;

type ClaimAnswer = ClaimVerdict | 'not-holder';

/** A request that is to run only if its idempotency key is granted to it. */
export type KeyedRequest = {
	readonly customer: string;
	readonly service: string;
	readonly idempotencyKey: string;
	/** The request's id. */
	readonly id: string;
	readonly deadline: Millis;
};

@singleton()
export class KeyTask extends Task {
	constructor(
		@inject('Mesh') private readonly mesh: Mesh,
		@inject(KeptKeys) private readonly kept: KeptKeys,
		@inject(KeyTableTask) private readonly keyTable: KeyTableTask,
		@inject(MembershipTask) private readonly membership: MembershipTask,
		@inject(Identity) private readonly self: Identity,
		@inject('Clock') private readonly clock: Clock,
	) {
		super();
		mesh.serve(claim, ({key, claimant, mintedAt}) => ({
			verdict: this.#decide({
				key: key ?? '',
				claimant: claimant ?? '',
				mintedAt: mintedAt ?? 0,
			}),
		}));
		mesh.serve(releaseKey, ({key, claimant}) => {
			this.kept.records.release(key ?? '', claimant ?? '');
			return {};
		});
	}

	override async start(): Promise<void> {
		// The mesh handlers are registered in the constructor.
	}

	override async stop(): Promise<void> {
		// KeyTableTask transfers the records.
	}

	/** Claims the key; undefined if it is granted, otherwise the refusal. */
	async claim(keyed: KeyedRequest): Promise<Refusal | undefined> {
		const keyTime = mintedAt(keyed.idempotencyKey);
		if (keyTime === undefined) {
			return refusal(
				'bad-request',
				'idempotency-key must be a UUID of version 7, made at the time of the request',
			);
		}

		const keyClaim = {
			key: recordKey(keyed),
			claimant: keyed.id,
			mintedAt: keyTime,
		};
		for (;;) {
			const answer = await this.#ask(keyClaim);
			if (answer !== 'not-holder') {
				return refusalOf(answer);
			}

			if (this.clock.now() + pauseMs + minLeftMs > keyed.deadline) {
				await this.release(keyed);
				return refusal(
					'no-key-holder',
					'no daemon can grant this idempotency key now',
					retryAfterMs,
				);
			}

			await this.clock.sleep(pauseMs);
		}
	}

	/**
	 * Releases the key of a request that is proved not to have run, so that another one
	 * may claim it. Resolves once the holder has answered, or after a timeout.
	 */
	async release(keyed: KeyedRequest): Promise<void> {
		const key = recordKey(keyed);
		const holder = this.#holderOf(key);
		if (holder === this.self.id) {
			this.kept.records.release(key, keyed.id);
			return;
		}

		const member = this.membership.members.value.find(({id}) => id === holder);
		if (member) {
			const message = {key, claimant: keyed.id};
			await this.mesh.call(member.address, releaseKey, message, callMs);
		}
	}

	async #ask(keyClaim: Claim): Promise<ClaimAnswer> {
		const holder = this.#holderOf(keyClaim.key);
		if (holder === this.self.id) {
			return this.#decide(keyClaim);
		}

		const member = this.membership.members.value.find(({id}) => id === holder);
		if (!member) {
			return 'not-holder';
		}

		const answer = await this.mesh.call(
			member.address,
			claim,
			keyClaim,
			callMs,
		);
		return fold(
			answer,
			() => 'not-holder',
			({verdict}) => (verdict ?? 'not-holder') as ClaimAnswer,
		);
	}

	#decide(keyClaim: Claim): ClaimAnswer {
		const {table} = this.keyTable;
		const part = table ? partOf(keyClaim.key, table.rows.length) : 0;
		if (!table || !this.keyTable.mayGrant(part)) {
			return 'not-holder';
		}

		return this.kept.records.claim(
			keyClaim,
			table.rows[part].since,
			this.clock.wall(),
		);
	}

	#holderOf(key: string): string | undefined {
		const {table} = this.keyTable;
		return table?.rows[partOf(key, table.rows.length)].holder;
	}
}

function recordKey(keyed: KeyedRequest): string {
	const {customer, service, idempotencyKey} = keyed;
	return `${customer}/${service}/${idempotencyKey.replaceAll('"', '').toLowerCase()}`;
}

function refusalOf(verdict: ClaimVerdict): Refusal | undefined {
	switch (verdict) {
		case 'granted': {
			return undefined;
		}

		case 'duplicate': {
			const message =
				'the idempotency key was already granted to another request';
			return {reason: 'duplicate', ran: 'unknown', message};
		}

		case 'unproved': {
			const message =
				'the idempotency key is too old for its record to be kept here';
			return {reason: 'unproved', ran: 'unknown', message};
		}

		case 'early': {
			return refusal(
				'bad-request',
				'the time in the idempotency key is in the future',
			);
		}

		case 'full': {
			return refusal(
				'overloaded',
				'no room for another idempotency key',
				retryAfterMs,
			);
		}
	}
}

function refusal(
	reason: Refusal['reason'],
	message: string,
	afterMs?: Millis,
): Refusal {
	const base: Refusal = {reason, ran: 'not-run', message};
	return afterMs === undefined ? base : {...base, retryAfterMs: afterMs};
}
