/**
 * The records of idempotency keys that one daemon keeps. A key is granted to one request;
 * no other request with the key runs while the record exists, and once the record has
 * expired the key is too old to be granted. The records are limited in age, by the age at
 * which keys are refused, and in number: a full set refuses new keys rather than drop one.
 */

/** How long keys are valid, and how many records are kept. */
export type KeyRecordsOptions = {
	/** Requests with a key older than this are not run, in ms. */
	readonly windowMs: number;
	/** The largest difference between two clocks, in ms. */
	readonly skewMs: number;
	readonly maxRecords: number;
};

/** A request that asks to run under its idempotency key. */
export type Claim = {
	readonly key: string;
	/** The request's id: a repeated claim with the same id gets the same verdict. */
	readonly claimant: string;
	/** When the key was generated, in ms since the Unix epoch. */
	readonly mintedAt: number;
};

/**
 * `granted`: the request may run. `duplicate`: the key was granted to another request.
 * `unproved`: the key is so old that a record of it may be missing here. `early`: the
 * key's time is in the future. `full`: nothing was recorded, the claim may be repeated.
 */
export type ClaimVerdict =
	'granted' | 'duplicate' | 'unproved' | 'early' | 'full';

/** One grant: the request that was allowed to run, and when, in ms since the Unix epoch. */
export type KeyRecord = {
	readonly key: string;
	readonly claimant: string;
	readonly at: number;
};

export class KeyRecords {
	/** Records by key, oldest first. */
	readonly #records = new Map<
		string,
		{readonly claimant: string; readonly at: number}
	>();

	constructor(private readonly options: KeyRecordsOptions) {}

	get size(): number {
		return this.#records.size;
	}

	/** Decides on a claim at time `wallMs`, as the holder of the key's part since `since`. */
	claim(
		{key, claimant, mintedAt}: Claim,
		since: number,
		wallMs: number,
	): ClaimVerdict {
		const {windowMs, skewMs, maxRecords} = this.options;
		this.#expire(wallMs);
		const record = this.#records.get(key);
		if (record) {
			return record.claimant === claimant ? 'granted' : 'duplicate';
		}

		if (mintedAt > wallMs + skewMs) {
			return 'early';
		}

		if (mintedAt < since + 2 * skewMs || mintedAt < wallMs - windowMs) {
			return 'unproved';
		}

		if (this.#records.size >= maxRecords) {
			return 'full';
		}

		this.#records.set(key, {claimant, at: wallMs});
		return 'granted';
	}

	/** The records of the keys for which `matches` is true, oldest first. */
	of(matches: (key: string) => boolean): readonly KeyRecord[] {
		return [...this.#records].flatMap(([key, record]) =>
			matches(key) ? [{key, ...record}] : [],
		);
	}

	/**
	 * Adds the records of another holder, replacing those of the same keys; returns false
	 * and adds none when there is no room for all of them.
	 */
	addAll(records: readonly KeyRecord[]): boolean {
		const added = records.filter(({key}) => !this.#records.has(key));
		if (this.#records.size + added.length > this.options.maxRecords) {
			return false;
		}

		for (const {key, claimant, at} of records) {
			this.#records.set(key, {claimant, at});
		}

		return true;
	}

	/** Drops the record of a grant whose request is proved not to have run. */
	release(key: string, claimant: string): void {
		if (this.#records.get(key)?.claimant === claimant) {
			this.#records.delete(key);
		}
	}

	/** Drops records of keys that are so old that they are refused anyway. */
	#expire(wallMs: number): void {
		const {windowMs, skewMs} = this.options;
		for (const [key, {at}] of this.#records) {
			if (at + windowMs + 2 * skewMs > wallMs) {
				return;
			}

			this.#records.delete(key);
		}
	}
}
