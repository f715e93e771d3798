/** The records of idempotency keys at this daemon, and their transfer to the next holder of a part. */
import {
	Clock,
	KeyRecords,
	partOf,
	type KeyRecord,
	type Millis,
} from '@kingcuproute/core';
import {handOn, Mesh} from '@kingcuproute/mesh';
import {inject, singleton} from 'tsyringe';
import {type Settings} from '../../settings/settings.js';

const callMs: Millis = 500;
const pageLen = 2000;

@singleton()
export class KeptKeys {
	readonly records: KeyRecords;
	#receivedAt: Millis = Number.NEGATIVE_INFINITY;
	#refusesTransfers = false;

	constructor(
		@inject('Mesh') private readonly mesh: Mesh,
		@inject('Settings') settings: Settings,
		@inject('Clock') private readonly clock: Clock,
	) {
		this.records = new KeyRecords(settings.keys);
		mesh.serve(handOn, ({records}) => ({
			kept: this.#keep(
				(records ?? []).map(({key, claimant, at}): KeyRecord => ({
					key: key ?? '',
					claimant: claimant ?? '',
					at: at ?? 0,
				})),
			),
		}));
	}

	/** When another daemon last transferred records to this one. */
	get receivedAt(): Millis {
		return this.#receivedAt;
	}

	/** From now on, takes no records: their parts stay with their holders. */
	refuseTransfers(): void {
		this.#refusesTransfers = true;
	}

	/**
	 * Transfers the records of `parts`, of `count` parts in all, to the daemon at
	 * `address`; true once it has stored them all. No key of these parts may be granted
	 * here during the transfer or afterwards.
	 */
	async transfer(
		address: string,
		parts: ReadonlySet<number>,
		count: number,
	): Promise<boolean> {
		const records = this.records.of((key) => parts.has(partOf(key, count)));
		// An empty page is sent as well: the answer shows that the daemon can be reached.
		for (let pos = 0; pos === 0 || pos < records.length; pos += pageLen) {
			const page = {records: records.slice(pos, pos + pageLen)};
			const answer = await this.mesh.call(address, handOn, page, callMs);
			if (!answer.map(({kept}) => kept ?? false).orDefault(false)) {
				return false;
			}
		}

		return true;
	}

	#keep(records: readonly KeyRecord[]): boolean {
		if (this.#refusesTransfers || !this.records.addAll(records)) {
			return false;
		}

		this.#receivedAt = this.clock.now();
		return true;
	}
}
