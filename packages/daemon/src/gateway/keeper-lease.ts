/**
 * The lease that allows one daemon at a time to grant and release a service's keys.
 * It is an object in the platform's store that its holder rewrites with every beat.
 * Another daemon takes it once it has seen no change for longer than the lease lasts.
 *
 * The lease outlasts a restore of the store from a copy: its holder writes it again, and what
 * the copy shows, or lacks, neither ends the lease nor makes it free. Leases of the former
 * era have expired when this daemon has known of the present one for longer than they last.
 */
import {
	eraOf,
	fold,
	revisionIn,
	revisionText,
	type Clock,
	type Millis,
} from '@kingcuproute/core';
import {
	isOfItsEra,
	keepersKind,
	parseKeeper,
	withEra,
	errorText,
	heldRevision,
	type ObjectStore,
	type StoredObject,
} from '@kingcuproute/platform';
import {type Log} from '../log/log.js';
import {slowUpdateMs} from './kind-follower.js';

/** A third of the lease, so that two beats in a row may be lost. */
const beatMs: Millis = 1000;
/** Measured from the sending of a beat that the store accepted. */
const leaseMs: Millis = 3000;
/** Added to the lease before another daemon takes it: allows for 2% of clock drift and for late timers. */
const marginMs: Millis = 600;
/** If the wall clock jumps against the steady clock by more than this, the VM may have been paused. */
const maxClockJumpMs: Millis = 150;

export type KeeperLeaseContext = {
	readonly store: ObjectStore;
	readonly clock: Clock;
	readonly log: Log;
};

type Beat = {
	readonly beat: number;
	/** When it was sent. */
	readonly at: Millis;
	/** When the lease of any former holder has ended if this beat is accepted. */
	readonly formerLeaseEndsAt: Millis;
};

export class KeeperLease {
	/** Whether this daemon reads the leases slowly, so that it waits longer before it takes one for expired. */
	isUpdatedSlowly = false;
	#object: StoredObject | undefined;
	/** The revision as of which the object, or that there is none, is known. */
	#asOf = 0;
	#changedAt: Millis;
	#expiresAt: Millis = -Infinity;
	#tenure = 0;
	#formerOrdersEndedAt: Millis = -Infinity;
	/** The newest beat of this daemon. */
	#lastBeat: Beat = {beat: 0, at: -Infinity, formerLeaseEndsAt: -Infinity};
	#writing = false;
	#wallOffset: Millis;

	constructor(
		private readonly service: string,
		private readonly vm: string,
		private readonly context: KeeperLeaseContext,
	) {
		const {clock} = context;
		this.#changedAt = clock.now();
		this.#wallOffset = clock.wall() - clock.now();
	}

	/** Whether this daemon holds the lease now. */
	get isHeld(): boolean {
		this.#expireAfterClockJump();
		return this.context.clock.now() < this.#expiresAt;
	}

	/** By when every daemon that held the lease before this one had stopped sending orders. */
	get formerOrdersEndedAt(): Millis {
		return this.#formerOrdersEndedAt;
	}

	/** By when every daemon that held the lease in a former era of the store, and knows of no later one, has stopped sending orders. */
	get formerEraEndedAt(): Millis {
		return this.context.store.era.since + leaseMs + marginMs;
	}

	/** Number of times this daemon has taken the lease; between two of them another daemon may have held it. */
	get tenure(): number {
		return this.#tenure;
	}

	/** Applies the lease's object as read from the store at a revision, unless it is older than the known one; undefined while there is none. */
	update(object: StoredObject | undefined, asOf = object?.revision ?? 0): void {
		if (!object) {
			if (eraOf(asOf) > eraOf(this.#asOf)) {
				this.#lose(asOf);
			}

			return;
		}

		if (object.revision <= this.#asOf) {
			return;
		}

		this.#object = object;
		this.#asOf = object.revision;
		this.#changedAt = this.context.clock.now();
		const keeper = parseKeeper(object.spec).orDefault({vm: '', beat: 0});
		if (!isOfItsEra(object)) {
			this.#logRestored(keeper.vm);
		} else if (keeper.vm !== this.vm) {
			this.#expiresAt = -Infinity;
		} else if (keeper.beat === this.#lastBeat.beat) {
			// The store has taken the beat, even if the answer to it was lost.
			this.#extend(this.#lastBeat.at + leaseMs);
		}
	}

	/** Sends a beat when one is due, or takes an expired lease. To be called about every 100 ms. */
	async renewOrAcquire(): Promise<void> {
		const now = this.context.clock.now();
		const mayBeat =
			now - this.#lastBeat.at >= beatMs || (this.isHeld && this.#isUnwritten);
		if (!this.#writing && mayBeat && (this.isHeld || this.#isFree(now))) {
			await this.#beat(this.vm);
		}
	}

	/** Gives the lease up, so that another daemon need not wait for it to expire. */
	async release(): Promise<void> {
		if (this.isHeld) {
			this.#expiresAt = -Infinity;
			await this.#beat('');
		}
	}

	/** Whether the present era of the store has no lease that was written in it, as far as is known. */
	get #isUnwritten(): boolean {
		return (
			!this.#object ||
			eraOf(this.#asOf) < this.context.store.era.number ||
			!isOfItsEra(this.#object)
		);
	}

	/** Records that the store has no such object. */
	#lose(asOf: number): void {
		this.#object = undefined;
		this.#asOf = asOf;
		this.#changedAt = this.context.clock.now();
		this.#logRestored(undefined);
	}

	#logRestored(vm: string | undefined): void {
		if (this.context.store.era.isFirst) {
			return;
		}

		this.context.log.warn('keeper-lease-restored', {
			service: this.service,
			revision: revisionText(this.#asOf),
			keeper: vm,
			isHeld: this.isHeld,
		});
	}

	#extend(until: Millis): void {
		if (!this.isHeld) {
			this.#tenure++;
			this.#formerOrdersEndedAt = Math.min(
				this.context.clock.now(),
				this.#lastBeat.formerLeaseEndsAt,
			);
		}

		this.#expiresAt = until;
	}

	async #beat(vm: string): Promise<void> {
		const beat = Math.max(
			this.#lastBeat.beat + 1,
			Math.round(this.context.clock.wall()),
		);
		// If the beat is accepted, nobody has changed the lease since it was read.
		const readAt = Math.max(this.#changedAt, this.context.store.era.since);
		this.#lastBeat = {
			beat,
			at: this.context.clock.now(),
			formerLeaseEndsAt: readAt + leaseMs + marginMs,
		};
		this.#writing = true;
		const written = await this.context.store.write({
			kind: keepersKind,
			name: this.service,
			revision: this.#object?.revision,
			spec: withEra({vm, beat}, this.context.store.era.number),
		});
		this.#writing = false;
		fold(
			written,
			(error) => {
				this.context.log.warn('beat-failed', {
					service: this.service,
					error: errorText(error),
					knownRevision: revisionText(this.#object?.revision),
					heldRevision: revisionText(heldRevision(error)),
				});
				if (error.kind === 'conflict') {
					this.update(error.held);
				} else if (error.kind === 'missing') {
					const {number} = this.context.store.era;
					this.#lose(Math.max(this.#asOf, revisionIn(number, 0) ?? 0));
				}
			},
			(object) => {
				this.update(object);
			},
		);
	}

	#isFree(now: Millis): boolean {
		if (!this.#object) {
			return this.context.store.era.isFirst || now > this.formerEraEndedAt;
		}

		// A former run on this VM has ended and no longer uses its lease.
		const isReleased =
			isOfItsEra(this.#object) &&
			parseKeeper(this.#object.spec)
				.map(({vm}) => vm === '' || vm === this.vm)
				.orDefault(false);
		const extraMs = this.isUpdatedSlowly ? slowUpdateMs : 0;
		return isReleased || now - this.#changedAt > leaseMs + marginMs + extraMs;
	}

	#expireAfterClockJump(): void {
		const offset = this.context.clock.wall() - this.context.clock.now();
		if (Math.abs(offset - this.#wallOffset) > maxClockJumpMs) {
			this.#expiresAt = -Infinity;
			this.#lastBeat = {...this.#lastBeat, at: -Infinity};
			this.#changedAt = this.context.clock.now();
		}

		this.#wallOffset = offset;
	}
}
