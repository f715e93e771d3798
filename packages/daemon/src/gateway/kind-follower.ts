/**
 * Keeps a copy of all objects of one kind in the platform's store. Lists them once and
 * then follows changes by long polls, or, where changes may be seconds late, lists them
 * periodically. The answer of a long poll may get lost without a sign, so that cheap
 * calls check in between whether it has missed a change.
 */
import {
	eraOf,
	fold,
	revisionText,
	type CheckPace,
	type Clock,
	type Millis,
	type Random,
} from '@kingcuproute/core';
import {
	errorText,
	type ObjectChanges,
	type ObjectError,
	type ObjectStore,
	type RelayedReading,
	type StoredObject,
} from '@kingcuproute/platform';
import {type Either} from 'purify-ts';
import {type Log} from '../log/log.js';
import {Topic} from '../task/topic.js';
import {unread, type Reading} from './reading.js';

/** Duration of a long poll: shorter than the store keeps its history. */
const waitMs: Millis = 15_000;
/** Between two checks of a long poll, to notice a silent connection within a few seconds; jittered, because all daemons do this. */
const checkMs: Millis = 3000;
/** Duration of a long poll while the store does not answer: a call that hangs is given up soon, so that changes arrive soon after the store is back. */
const probeMs: Millis = 500;
/** Between two lists of a kind that is followed slowly; jittered, because all daemons do this. */
const slowListMs: Millis = 5000;
/** How soon a follower notices that `slow` has been switched off. */
const paceCheckMs: Millis = 500;
/** How late a change of a slowly followed kind may arrive if no call fails: the jitter adds up to half the interval. */
export const slowUpdateMs: Millis = 1.5 * slowListMs + paceCheckMs;
/** Between two calls while the store does not answer; jittered, because all daemons retry. */
const retryMs: Millis = 500;

/** Between two lists of a kind whose changes could not be followed from the first one; jittered, because all daemons lose a history together. */
const relistMs: Millis = 500;

const maxNamesLogged = 10;

export type Objects = ReadonlyMap<string, StoredObject>;

type ChangeList = Either<ObjectError, ObjectChanges>;

export type FollowerContext = {
	readonly store: ObjectStore;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	/** Shared by all followers of the daemon. */
	readonly checkPace: CheckPace;
};

export class KindFollower {
	/** The objects by name; undefined until they have been read once. */
	readonly objects = new Topic<Objects | undefined>(undefined);
	/** Whether changes may arrive seconds late, which takes a fraction of the calls. */
	slow = false;
	/** Pause after a change, so that the next call returns all changes that follow closely. */
	gatherMs: Millis = 0;
	/** The shortest that this pause gets by `hurry`. */
	minGatherMs: Millis = 0;
	#isUrgent = false;
	#endGathering: (() => void) | undefined;
	#hadChanges = false;
	/** When the kind was last listed because its changes could not be followed. */
	#relistedAt: Millis = -Infinity;
	#lastFailureAt: Millis = -Infinity;
	#lastSuccessAt: Millis = -Infinity;
	/** As `lastSuccessAt`, without answers that may be old. */
	#knownAt: Millis = -Infinity;
	#reading = unread;
	#revision: number | undefined;
	/** Whether the next reading comes from a peer, so that it costs the store no call. */
	#isRelayed = false;
	#wantsRefresh = false;
	#endWatch: (() => void) | undefined;
	#isUp: boolean | undefined;
	#stopped = false;
	/** Names of objects that cannot be read, so that each is logged once. */
	#unreadable: ReadonlySet<string> = new Set();

	constructor(
		private readonly kind: string,
		private readonly context: FollowerContext,
	) {}

	/** When a call last failed; -Infinity if none has. */
	get lastFailureAt(): Millis {
		return this.#lastFailureAt;
	}

	/** When an answered call last showed that the objects are current; -Infinity if none has. */
	get lastSuccessAt(): Millis {
		return this.#lastSuccessAt;
	}

	/** The newest revision as of which the objects are known; undefined while they have to be listed. */
	get revision(): number | undefined {
		return this.#revision;
	}

	/** How the present copy of the objects was read. */
	get reading(): Reading {
		return this.#reading;
	}

	start(): void {
		void this.#run();
	}

	/** Asks the store at once for the present revision, because a peer has a later one. */
	refresh(): void {
		this.#wantsRefresh = true;
		this.#endWatch?.();
		this.hurry();
	}

	/** Ends the pause after a change early, because the objects seem to be outdated. */
	hurry(): void {
		this.#isUrgent = true;
		this.#endGathering?.();
	}

	stop(): void {
		this.#stopped = true;
	}

	async #run(): Promise<void> {
		while (!this.#stopped) {
			let isSlow =
				this.slow && this.objects.value !== undefined && !this.#isRelayed;
			if (isSlow) {
				await this.#untilNextList();
				isSlow = !this.#wantsRefresh;
			}

			const wasUp = this.#isUp;
			const error = await this.#poll(isSlow);
			this.#recordOutcome(error);
			// A first failure may be that of the connection alone.
			if (error !== undefined && !wasUp) {
				await this.context.clock.sleep(this.context.random.jitter(retryMs));
			} else if (error === undefined && this.#hadChanges && this.#mayGather) {
				await this.#gather();
			}
		}
	}

	/** A peer has gathered changes already. */
	get #mayGather(): boolean {
		return this.gatherMs > 0 && !this.#isRelayed;
	}

	/** Lets changes gather at the store for `gatherMs`, or less if somebody needs them. */
	async #gather(): Promise<void> {
		const {clock} = this.context;
		const minMs = Math.min(this.minGatherMs, this.gatherMs);
		this.#isUrgent = false;
		await clock.sleep(minMs);
		if (!this.#isUrgent) {
			const hurried = new Promise<void>((resolve) => {
				this.#endGathering = resolve;
			});
			await Promise.race([clock.sleep(this.gatherMs - minMs), hurried]);
		}
	}

	/** Makes one call to the store; returns the error, if any. An exception while the answer is processed counts as a failed call. */
	async #poll(isSlow: boolean): Promise<string | undefined> {
		try {
			if (isSlow) {
				return await this.#list(true);
			}

			return this.#revision === undefined
				? await this.#relist()
				: await this.#watch(this.#revision);
		} catch (error) {
			const {message, stack} = error as Error;
			return `answer could not be processed: ${stack ?? message}`;
		}
	}

	/** Waits until the next slow list is due, `slow` is switched off, or the objects are known to be of a former era. */
	async #untilNextList(): Promise<void> {
		const {clock, random, store} = this.context;
		const until = clock.now() + random.jitter(slowListMs);
		while (
			this.slow &&
			!this.#stopped &&
			!this.#wantsRefresh &&
			eraOf(this.#revision ?? 0) >= store.era.number &&
			clock.now() < until
		) {
			await clock.sleep(paceCheckMs);
		}
	}

	/** Lists at once, unless the last such list was of no use for following changes. */
	async #relist(): Promise<string | undefined> {
		const {clock, random} = this.context;
		const sinceMs = clock.now() - this.#relistedAt;
		if (sinceMs < relistMs) {
			await clock.sleep(Math.max(0, random.jitter(relistMs) - sinceMs));
		}

		const error = await this.#list(false);
		this.#relistedAt = error === undefined ? clock.now() : -Infinity;
		return error;
	}

	async #list(stale: boolean): Promise<string | undefined> {
		const listing = await this.context.store.list(this.kind, stale);
		return fold(
			listing,
			(error): string | undefined => errorText(error),
			({revision, objects, unreadable = [], relay}) => {
				if (revision < (this.#revision ?? 0)) {
					return undefined;
				}

				this.#logUnreadable(unreadable);
				this.#unreadable = new Set(unreadable);

				this.#revision = revision;
				this.#confirm(relay, this.#knownAt);
				this.#knownAt = stale ? this.#knownAt : this.#reading.confirmedAt;
				this.objects.publish(
					new Map(objects.map((object) => [object.name, object])),
				);
				return undefined;
			},
		);
	}

	/** Records when the objects were last confirmed: now, unless the reading was relayed. Its changes were made after `since`. */
	#confirm(relay: RelayedReading | undefined, since: Millis): void {
		const confirmedAt = relay?.confirmedAt ?? this.context.clock.now();
		const byPeer = relay?.byPeer ?? false;
		this.#reading = {
			confirmedAt,
			formerAt: this.#lastSuccessAt,
			changedSince: relay?.changedSince ?? since,
			byPeer,
		};
		this.#lastSuccessAt = Math.max(this.#lastSuccessAt, confirmedAt);
		this.#isRelayed = byPeer;
	}

	async #watch(since: number): Promise<string | undefined> {
		this.#hadChanges = false;
		const changeList = await this.#nextChanges(since);
		if (!changeList) {
			return undefined;
		}

		return fold(
			changeList,
			(error): string | undefined => {
				// An unreadable change stays in the store's history; a new list may not contain it.
				if (error.kind === 'expired' || error.kind === 'unreadable') {
					this.#revision = undefined;
				}

				return error.kind === 'expired' ? undefined : errorText(error);
			},
			({revision, changes, unreadable = [], relay}) => {
				this.#revision = Math.max(since, revision);
				const {promptSince} = this.context.checkPace;
				this.#confirm(relay, Math.max(this.#knownAt, promptSince));
				this.#knownAt = Math.max(this.#knownAt, this.#reading.confirmedAt);
				this.#logUnreadable(unreadable);
				this.#unreadable = new Set([...this.#unreadable, ...unreadable]);
				this.#hadChanges = changes.length > 0;
				if (changes.length > 0) {
					const objects = new Map(this.objects.value);
					for (const {object, removed} of changes) {
						if (removed) {
							objects.delete(object.name);
						} else {
							objects.set(object.name, object);
						}
					}

					this.objects.publish(objects);
				}

				return undefined;
			},
		);
	}

	async #nextChanges(since: number): Promise<ChangeList | undefined> {
		const {store} = this.context;
		if (this.#wantsRefresh) {
			this.#wantsRefresh = false;
			return store.watch(this.kind, since, 0);
		}

		return this.#isUp === false
			? store.watch(this.kind, since, probeMs)
			: this.#checkedWatch(since);
	}

	/**
	 * A long poll, given up with undefined if a check shows that it has missed a change. A
	 * check that fails ends it as well: its connection may have been lost at the same time.
	 */
	async #checkedWatch(since: number): Promise<ChangeList | undefined> {
		const {store, clock} = this.context;
		let hasEnded = false;
		const watch = async () => {
			const changeList = await store.watch(this.kind, since, waitMs);
			hasEnded = true;
			return changeList;
		};

		const isOver = () => hasEnded || this.#stopped;
		const check = async (watched: Promise<ChangeList>) => {
			for (;;) {
				await this.#untilCheck(isOver);
				if (isOver()) {
					return watched;
				}

				const beganAt = clock.now();
				this.context.checkPace.begin(beganAt);
				const missed = await store.watch(this.kind, since, 0, true);
				if (missed.isLeft()) {
					return missed;
				}

				if (missed.unsafeCoerce().changes.length > 0) {
					return undefined;
				}

				this.#lastSuccessAt = clock.now();
				this.context.checkPace.answered(beganAt, clock.now());
			}
		};

		const watched = watch();
		const ended = new Promise<undefined>((resolve) => {
			this.#endWatch = () => {
				hasEnded = true;
				resolve(undefined);
			};
		});
		return Promise.race([watched, check(watched), ended]);
	}

	/** Waits until the long poll is due for a check, or is seen to be over. */
	async #untilCheck(isOver: () => boolean): Promise<void> {
		const {clock, random, checkPace} = this.context;
		const startedAt = clock.now();
		const ownDueAt = startedAt + random.jitter(checkMs);
		while (!isOver()) {
			const leftMs = checkPace.dueAt(startedAt, ownDueAt) - clock.now();
			if (leftMs <= 0) {
				return;
			}

			await clock.sleep(leftMs);
		}
	}

	#logUnreadable(names: readonly string[]): void {
		const newNames = names.filter((name) => !this.#unreadable.has(name));
		if (newNames.length > 0) {
			const {kind} = this;
			this.context.log.warn('objects-unreadable', {
				kind,
				count: newNames.length,
				names: newNames.slice(0, maxNamesLogged).join(','),
			});
		}
	}

	#recordOutcome(error: string | undefined): void {
		if (error !== undefined) {
			this.#lastFailureAt = this.context.clock.now();
		}

		const isUp = error === undefined;
		if (isUp === this.#isUp) {
			return;
		}

		this.#isUp = isUp;
		const {kind} = this;
		const revision = revisionText(this.#revision);
		if (error === undefined) {
			this.context.log.info('store-heard', {kind, revision});
		} else {
			this.context.log.warn('store-lost', {
				kind,
				revision,
				error,
			});
		}
	}
}
