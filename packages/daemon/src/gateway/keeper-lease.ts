/**
 * The lease under which one daemon alone gives orders about a service's keys: an
 * object in the platform's store that its holder changes at every beat. Another
 * daemon takes it once it has seen no change for longer than a lease lasts.
 */
import {fold, type Clock, type Millis} from '@kingcuproute/core';
import {
	keepersKind,
	parseKeeper,
	shownError,
	type ObjectStore,
	type StoredObject,
} from '@kingcuproute/platform';
import {type Log} from '../log/log.js';
import {slowNewsMs} from './kind-follower.js';

/** A third of the lease: two beats may be lost. */
const beatMs: Millis = 1000;
/** From the sending of a beat that the store took. */
const leaseMs: Millis = 3000;
/** Beyond the lease, before another daemon takes it: clocks that run apart by 2% and late timers. */
const marginMs: Millis = 600;
/** A jump of the wall clock against the steady one beyond this means that the VM may have stood still. */
const stoppedMs: Millis = 150;

export type KeeperLeaseMeans = {
	readonly store: ObjectStore;
	readonly clock: Clock;
	readonly log: Log;
};

export class KeeperLease {
	/** Whether news of beats come slowly, so that one not heard of means nothing yet. */
	patient = false;
	#held: StoredObject | undefined;
	#changedAt: Millis;
	#until: Millis = -Infinity;
	#tenure = 0;
	/** The newest beat, and when it was sent. */
	#sent: {readonly beat: number; readonly at: Millis} = {
		beat: 0,
		at: -Infinity,
	};

	#writing = false;
	#wallLead: Millis;

	constructor(
		private readonly service: string,
		private readonly vm: string,
		private readonly means: KeeperLeaseMeans,
	) {
		const {clock} = means;
		this.#changedAt = clock.now();
		this.#wallLead = clock.wall() - clock.now();
	}

	/** Whether an order that is sent now is under the lease. */
	get isHeld(): boolean {
		this.#distrustAfterStop();
		return this.means.clock.now() < this.#until;
	}

	/** Counts the times that the lease was taken: another daemon may have held it since the one before. */
	get tenure(): number {
		return this.#tenure;
	}

	/** Takes in the lease's object as the store has it; undefined while there is none. */
	heard(object: StoredObject | undefined): void {
		if (!object || object.revision <= (this.#held?.revision ?? 0)) {
			return;
		}

		this.#held = object;
		this.#changedAt = this.means.clock.now();
		const keeper = parseKeeper(object.spec).orDefault({vm: '', beat: 0});
		if (keeper.vm !== this.vm) {
			this.#until = -Infinity;
		} else if (keeper.beat === this.#sent.beat) {
			// The answer to the beat may be lost: the store has it all the same.
			this.#hold(this.#sent.at + leaseMs);
		}
	}

	/** Beats, or takes a lease that has lapsed; to be called every 100 ms or so. */
	async tend(): Promise<void> {
		const now = this.means.clock.now();
		const mayBeat = now - this.#sent.at >= beatMs;
		if (!this.#writing && mayBeat && (this.isHeld || this.#isFree(now))) {
			await this.#beat(this.vm);
		}
	}

	/** Gives the lease up, so that another daemon need not wait it out. */
	async standDown(): Promise<void> {
		if (this.isHeld) {
			this.#until = -Infinity;
			await this.#beat('');
		}
	}

	#hold(until: Millis): void {
		if (!this.isHeld) {
			this.#tenure++;
		}

		this.#until = until;
	}

	async #beat(vm: string): Promise<void> {
		const beat = Math.max(
			this.#sent.beat + 1,
			Math.round(this.means.clock.wall()),
		);
		this.#sent = {beat, at: this.means.clock.now()};
		this.#writing = true;
		const written = await this.means.store.write({
			kind: keepersKind,
			name: this.service,
			revision: this.#held?.revision,
			spec: {vm, beat},
		});
		this.#writing = false;
		fold(
			written,
			(error) => {
				this.means.log.warn('beat-failed', {
					service: this.service,
					error: shownError(error),
				});
				if (error.kind === 'conflict') {
					this.heard(error.held);
				} else if (error.kind === 'missing') {
					this.#held = undefined;
				}
			},
			(object) => {
				this.heard(object);
			},
		);
	}

	#isFree(now: Millis): boolean {
		if (!this.#held) {
			return true;
		}

		// A former run on this VM has ended, and so has its use of the lease.
		const isOpen = parseKeeper(this.#held.spec)
			.map(({vm}) => vm === '' || vm === this.vm)
			.orDefault(false);
		const lateMs = this.patient ? slowNewsMs : 0;
		return isOpen || now - this.#changedAt > leaseMs + marginMs + lateMs;
	}

	#distrustAfterStop(): void {
		const lead = this.means.clock.wall() - this.means.clock.now();
		if (Math.abs(lead - this.#wallLead) > stoppedMs) {
			this.#until = -Infinity;
			this.#sent = {...this.#sent, at: -Infinity};
			this.#changedAt = this.means.clock.now();
		}

		this.#wallLead = lead;
	}
}
