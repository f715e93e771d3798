/**
 * The platform's store as followers of whole kinds read it: through a peer that follows it,
 * where there is one, else by calls of this daemon. What has been read never goes back to
 * an earlier revision. Answers the load that every daemon of a large fleet following the
 * store by itself puts on it. Turns to the store at different moments in each daemon.
 */
import {
	eraOf,
	KindPosition,
	type Clock,
	type Millis,
	type Random,
} from '@kingcuproute/core';
import {
	ObjectStore,
	type ObjectChanges,
	type ObjectError,
	type ObjectListing,
	type ObjectWrite,
	type RelayedReading,
} from '@kingcuproute/platform';
import {Left, Right, type Either} from 'purify-ts';
import {type Log} from '../log/log.js';
import {type GatewayMetrics} from './gateway-metrics.js';
import {type PeerOutcome, type PeerReads} from './peer-reads.js';
import {type StoreContact} from './store-contact.js';

/** Time over which daemons without a peer turn to the store. */
const spreadMs: Millis = 200;
/** Between two checks, at a tenth of a call, whether this daemon reaches the store that its peers say fails; jittered. */
const awayCheckMs: Millis = 1000;
/** Between two looks at whether peers or the store are back meanwhile. */
const awayTickMs: Millis = 100;
/** For how long an answer shows that this daemon reaches the store, whatever its peers say: longer than between two checks of a poll. */
const reachedMs: Millis = 2000;

const unconfirmed: RelayedReading = {confirmedAt: -Infinity, byPeer: false};
const noReading: PeerOutcome = {kind: 'none'};
const storeAway: ObjectError = {
	kind: 'unknown',
	message: 'the peers say that the store fails',
};

export type RelayedStoreContext = {
	readonly store: ObjectStore;
	readonly contact: StoreContact;
	readonly clock: Clock;
	readonly random: Random;
	readonly metrics: GatewayMetrics;
	readonly log: Log;
	/** Whether the first list of each kind may be seconds old, as a watch from its revision follows; such a call costs a tenth. */
	readonly startsStale: boolean;
};

export class RelayedStore extends ObjectStore {
	#peers: PeerReads | undefined;
	readonly #positions = new Map<string, KindPosition>();
	/** Kinds of which this daemon needs every change at once. */
	readonly #direct = new Set<string>();
	/** Kinds that were last read from a peer. */
	readonly #relayedKinds = new Set<string>();
	/** Whether the store is read because no peer is fit. */
	#isFallback = false;
	#nextAwayCheckAt: Millis = -Infinity;
	/** When the store last answered a call of this daemon; -Infinity once one has failed. */
	#answeredAt: Millis = -Infinity;
	#isHearingEra = false;
	/** Ends the long polls to the store when there are peers again. */
	readonly #endPolls = new Set<() => void>();

	constructor(private readonly context: RelayedStoreContext) {
		super();
	}

	override get era() {
		return this.context.store.era;
	}

	/** Whether this daemon reads from peers at present, so that it has nothing to relay. */
	get isRelayed(): boolean {
		return this.#peers?.isUsable ?? false;
	}

	/** Reads through these from now on. */
	setPeers(peers: PeerReads): void {
		this.#peers = peers;
		peers.usable.subscribe(() => {
			for (const end of this.#endPolls) {
				end();
			}
		});
	}

	/** Sets whether a kind is read from the store in any case: a watcher gathers changes, and the keeper acts on each. */
	setDirect(kind: string, direct: boolean): void {
		if (direct) {
			this.#direct.add(kind);
		} else {
			this.#direct.delete(kind);
		}
	}

	/** Asks the peer, if any, to read its changes of the kind soon. */
	hurry(kind: string): void {
		this.#peers?.hurry(kind);
	}

	override async list(kind: string, stale = false) {
		const peers = this.#peersFor(kind);
		if (peers) {
			const outcome = await peers.list(kind);
			if (
				outcome.kind === 'read' &&
				this.#of(kind).offer(outcome.revision, outcome.contentRevision)
			) {
				const {changes, confirmedAt} = outcome;
				this.#recordPeerRead(kind, outcome.revision);
				return Right<ObjectListing>({
					revision: Math.max(this.#of(kind).reached, outcome.revision),
					objects: changes.map(({object}) => object),
					relay: {confirmedAt, byPeer: true},
				});
			}
		}

		return this.#listStore(kind, stale);
	}

	override async watch(
		kind: string,
		revision: number,
		waitMs: Millis,
		stale = false,
	): Promise<Either<ObjectError, ObjectChanges>> {
		if (!stale) {
			this.#of(kind).take(revision);
		}

		const peers = stale ? undefined : this.#peersFor(kind);
		if (!peers && (stale || !this.#relayedKinds.has(kind))) {
			return this.#watchStore(kind, revision, waitMs, stale);
		}

		const {content} = this.#of(kind);
		const outcome = (await peers?.watch(kind, content)) ?? noReading;
		switch (outcome.kind) {
			case 'expired': {
				return Left({kind: 'expired'});
			}

			case 'none': {
				this.#relayedKinds.delete(kind);
				await this.#turnToStore();
				return Right({revision, changes: [], relay: unconfirmed});
			}

			case 'read': {
				const {changes, confirmedAt, changedSince, contentRevision} = outcome;
				const changedAt = changes.length > 0 ? contentRevision : 0;
				if (!this.#of(kind).offer(outcome.revision, changedAt)) {
					return Right({revision, changes: [], relay: unconfirmed});
				}

				this.#recordPeerRead(kind, outcome.revision);
				return Right({
					revision: Math.max(revision, outcome.revision),
					changes,
					relay: {confirmedAt, changedSince, byPeer: true},
				});
			}
		}
	}

	override async write(write: ObjectWrite) {
		return this.context.store.write(write);
	}

	override async remove(kind: string, name: string) {
		return this.context.store.remove(kind, name);
	}

	#of(kind: string): KindPosition {
		const position = this.#positions.get(kind) ?? new KindPosition();
		this.#positions.set(kind, position);
		return position;
	}

	#peersFor(kind: string): PeerReads | undefined {
		return this.#peers?.isUsable && !this.#direct.has(kind)
			? this.#peers
			: undefined;
	}

	async #listStore(
		kind: string,
		stale: boolean,
	): Promise<Either<ObjectError, ObjectListing>> {
		const away = await this.#whileStoreAway(kind);
		if (away) {
			return away;
		}

		this.context.metrics.readFrom('store');
		const isFirst = this.#of(kind).isNew;
		const mayBeOld = isFirst && this.context.startsStale && !stale;
		const listing = this.#recordOutcome(
			await this.context.store.list(kind, stale || mayBeOld),
		);
		listing.ifRight(({revision}) => {
			this.#of(kind).offer(revision, revision);
		});
		return mayBeOld
			? listing.map((read) => ({...read, relay: unconfirmed}))
			: listing;
	}

	async #watchStore(
		kind: string,
		revision: number,
		waitMs: Millis,
		stale: boolean,
	): Promise<Either<ObjectError, ObjectChanges>> {
		const away = await this.#whileStoreAway(kind);
		if (away) {
			return away;
		}

		if (!stale) {
			this.context.metrics.readFrom('store');
		}

		const call = this.#watchOwn(kind, revision, waitMs, stale);
		const outcome = await (stale ? call : this.#unlessPeers(call, kind));
		outcome?.ifRight(({revision: reached, changes}) => {
			if (!stale) {
				this.#of(kind).offer(reached, changes.length > 0 ? reached : 0);
			}
		});
		return outcome ?? Right({revision, changes: [], relay: unconfirmed});
	}

	/** The outcome of `call`, or undefined as soon as the kind can be read from a peer. */
	async #unlessPeers<T>(
		call: Promise<T>,
		kind: string,
	): Promise<T | undefined> {
		if (this.#direct.has(kind)) {
			return call;
		}

		let end: (() => void) | undefined;
		const ended = new Promise<undefined>((resolve) => {
			end = () => {
				resolve(undefined);
			};

			this.#endPolls.add(end);
		});
		const outcome = await Promise.race([call, ended]);
		this.#endPolls.delete(end!);
		return outcome;
	}

	/** Waits for a random while, in which a peer may be found. */
	async #turnToStore(): Promise<void> {
		const {clock, random, metrics, log} = this.context;
		if (!this.#isFallback && !this.isRelayed) {
			this.#isFallback = true;
			metrics.fellBackToStore();
			log.warn('reads-from-store', {away: this.#peers?.isStoreAway});
		}

		await clock.sleep(spreadMs * random.fraction());
	}

	async #watchOwn(
		kind: string,
		revision: number,
		waitMs: Millis,
		stale: boolean,
	): Promise<Either<ObjectError, ObjectChanges>> {
		const {store} = this.context;
		return this.#recordOutcome(
			await store.watch(kind, revision, waitMs, stale),
		);
	}

	#recordOutcome<T>(outcome: Either<ObjectError, T>): Either<ObjectError, T> {
		this.#answeredAt = isAnswer(outcome) ? this.context.clock.now() : -Infinity;
		return outcome;
	}

	/** While the peers say that the store fails, and this daemon does not reach it either, it checks that rarely, and waits for its peers. */
	async #whileStoreAway(
		kind: string,
	): Promise<Either<ObjectError, never> | undefined> {
		const {clock, random, contact} = this.context;
		const isReached = clock.now() - this.#answeredAt < reachedMs;
		if (!this.#peers?.isStoreAway || isReached) {
			return undefined;
		}

		if (clock.now() >= this.#nextAwayCheckAt) {
			this.#nextAwayCheckAt = clock.now() + random.jitter(awayCheckMs);
			const {reached} = this.#of(kind);
			const check = await this.#watchOwn(kind, reached, 0, true);
			if (isAnswer(check)) {
				return undefined;
			}
		}

		await clock.sleep(awayTickMs);
		contact.failed(clock.now());
		return Left(storeAway);
	}

	/** Lets the store itself tell this daemon its era, if a peer has heard of a later one: kinds that are read rarely are then read at once. */
	async #hearEra(kind: string, revision: number): Promise<void> {
		if (eraOf(revision) > this.era.number && !this.#isHearingEra) {
			this.#isHearingEra = true;
			await this.context.store.watch(kind, revision, 0, true);
			this.#isHearingEra = false;
		}
	}

	#recordPeerRead(kind: string, revision: number): void {
		void this.#hearEra(kind, revision);
		this.#relayedKinds.add(kind);
		this.#isFallback = false;
		this.context.metrics.readFrom('peer');
	}
}

/** Whether the store was reached: an expired revision is its answer. */
function isAnswer(outcome: Either<ObjectError, unknown>): boolean {
	return outcome
		.swap()
		.map(({kind}) => kind === 'expired')
		.orDefault(true);
}
