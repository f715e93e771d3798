/**
 * Reads kinds of object through the peers that follow the platform's store. One call asks
 * for the changes of all kinds together; the peer holds it for a moment if there are none,
 * so that a change arrives at once and a silent peer is noticed. Every answer stands for
 * itself: one that comes late, twice or out of order changes nothing.
 */
import {
	AnswerDelay,
	fold,
	PeerStanding,
	type Clock,
	type Millis,
	type PeerFault,
	type Random,
	type Watcher,
} from '@kingcuproute/core';
import {
	follow,
	listKind,
	type FollowAnswerMessage,
	type Mesh,
} from '@kingcuproute/mesh';
import {Left, Right, type Either} from 'purify-ts';
import {type Log} from '../log/log.js';
import {type GatewayMetrics} from './gateway-metrics.js';
import {PeerReads, type PeerOutcome} from './peer-reads.js';
import {RecentObjects} from './recent-objects.js';
import {maxContactAgeMs} from './relay-answers.js';
import {
	contentLen,
	readAnswer,
	type PeerAnswer,
	type PeerReading,
} from './relay-messages.js';
import {type StoreContact} from './store-contact.js';

/** For how long a peer may hold a call. Halving it would double the calls, and notice silence little sooner. */
const holdMs: Millis = 400;
/** A timer that fires late may come before an answer that has arrived; this lets the answer be read. */
const readMs: Millis = 20;
/** Time for calls that carry much or open a connection, and for answers that come late. */
const callMs: Millis = 1500;
/** Kinds of object are read again together after an answer. */
const collectMs: Millis = 5;
/** How often peers that are due for a probe are looked for. */
const probeTickMs: Millis = 250;
/** Between two calls that a hurry adds. */
const hurryMs: Millis = 100;

/** No answer in time. */
const silence = Left(undefined);

type Interest = {
	readonly since: number;
	readonly resolve: (outcome: PeerOutcome) => void;
};

type Round = ReadonlyMap<string, number>;

export type LinkContext = {
	readonly mesh: Mesh;
	readonly contact: StoreContact;
	readonly clock: Clock;
	readonly random: Random;
	readonly metrics: GatewayMetrics;
	readonly log: Log;
};

export class PeerLink extends PeerReads {
	#standing: PeerStanding;
	readonly #interests = new Map<string, Interest>();
	readonly #rounds = new Set<Round>();
	readonly #urgent = new Set<string>();
	#hurriedAt: Millis = -Infinity;
	#isScheduled = false;
	/** The peer that answered the last round. */
	#current: string | undefined;
	readonly #answerDelay = new AnswerDelay();
	/** To which peers may send changes as diffs. */
	readonly #recent = new RecentObjects();
	readonly #cancelProbes: () => void;

	constructor(private readonly context: LinkContext) {
		super();
		const {clock, random} = context;
		this.#standing = new PeerStanding([], random);
		this.#cancelProbes = clock.repeat(probeTickMs, () => {
			this.#probe();
		});
	}

	/** The peer that is read from, if one is fit. */
	get best(): Watcher | undefined {
		return this.#standing.best;
	}

	override get isUsable(): boolean {
		return this.#standing.best !== undefined;
	}

	override get isStoreAway(): boolean {
		return this.#standing.isStoreAway(this.context.clock.now());
	}

	/** Reads from these peers from now on, in the order of preference. */
	setPeers(peers: readonly Watcher[]): void {
		this.#standing = this.#standing.with(peers);
		this.#probe();
	}

	override hurry(kind: string): void {
		const now = this.context.clock.now();
		this.#urgent.add(kind);
		if (now - this.#hurriedAt >= hurryMs && this.isUsable) {
			this.#hurriedAt = now;
			void this.#ask();
		}
	}

	override async list(kind: string): Promise<PeerOutcome> {
		const peer = this.#standing.best;
		if (!peer) {
			return {kind: 'none'};
		}

		const {mesh, clock} = this.context;
		const sentAt = clock.now();
		const call = mesh.call(peer.address, listKind, {kind}, callMs);
		return fold(
			this.#judge(await call),
			(fault): PeerOutcome => {
				this.#fail(peer, fault);
				return {kind: 'none'};
			},
			(read) => {
				this.#hearOf(read, sentAt);
				return this.#outcomeOf(read.readings.at(0), read, sentAt);
			},
		);
	}

	override async watch(kind: string, since: number): Promise<PeerOutcome> {
		if (!this.isUsable) {
			return {kind: 'none'};
		}

		return new Promise((resolve) => {
			this.#interests.get(kind)?.resolve({kind: 'none'});
			this.#interests.set(kind, {since, resolve});
			this.#schedule();
		});
	}

	close(): void {
		this.#cancelProbes();
		this.#endInterests();
	}

	/** Makes a call soon if some kind is not part of one under way. */
	#schedule(): void {
		if (this.#isScheduled) {
			return;
		}

		this.#isScheduled = true;
		this.context.clock.after(collectMs, () => {
			this.#isScheduled = false;
			if (this.#hasUncovered()) {
				void this.#ask();
			}
		});
	}

	#hasUncovered(): boolean {
		return [...this.#interests].some(
			([kind, {since}]) =>
				![...this.#rounds].some((round) => round.get(kind) === since),
		);
	}

	async #ask(): Promise<void> {
		const peer = this.#standing.best;
		if (!peer) {
			this.#endInterests();
			return;
		}

		const {mesh, clock} = this.context;
		const round = new Map(
			[...this.#interests].map(([kind, {since}]) => [kind, since] as const),
		);
		const interests = [...round].map(([kind, since]) => ({
			kind,
			since,
			urgent: this.#urgent.delete(kind),
			held: this.#recent
				.newest(kind)
				.map(({name, revision}) => ({name, revision})),
		}));
		// A peer that takes over is asked for what it has.
		const hold = this.#current === peer.vm ? holdMs : 0;
		this.#rounds.add(round);
		const sentAt = clock.now();
		const question = {holdMs: hold, interests};
		const call = mesh.call(peer.address, follow, question, callMs);
		const silent = this.#untilSilent(hold + this.#answerDelay.slackMs);
		const outcome = await Promise.race([call, silent]);
		this.#rounds.delete(round);
		fold(
			this.#judge(outcome),
			(fault) => {
				this.#fail(peer, fault);
				void this.#ask();
				if (outcome === silence) {
					void this.#takeLate(peer, round, call, sentAt);
				}
			},
			(read) => {
				this.#deliver(peer, round, read, sentAt);
			},
		);
	}

	async #untilSilent(ms: Millis): Promise<typeof silence> {
		await this.context.clock.sleep(ms);
		await this.context.clock.sleep(readMs);
		return silence;
	}

	/** Takes the answer of a peer that has been left for its silence: the way to it may be slow, and as slow to every other peer. */
	async #takeLate(
		peer: Watcher,
		round: Round,
		call: Promise<Either<unknown, FollowAnswerMessage>>,
		sentAt: Millis,
	): Promise<void> {
		const answer = this.#judge(await call);
		const wasUsable = this.isUsable;
		answer.ifRight((read) => {
			this.#deliver(peer, round, read, sentAt);
			if (!wasUsable && this.isUsable) {
				this.usable.publish(this.context.clock.now());
			}
		});
	}

	/** What an answer shows of the peer, and its content. */
	#judge(
		outcome: Either<unknown, FollowAnswerMessage>,
	): Either<PeerFault, PeerAnswer> {
		return outcome
			.mapLeft((error): PeerFault => {
				const isRefused = (error as {kind?: string} | undefined)?.kind;
				return isRefused === 'refused' ? 'not-current' : 'silent';
			})
			.chain((message) => this.#read(message))
			.chain((answer) =>
				isInContact(answer) ? Right(answer) : Left<PeerFault>('store-fails'),
			)
			.chain((answer) =>
				answer.readings.some(({standing}) => standing === 'behind')
					? Left<PeerFault>('not-current')
					: Right(answer),
			);
	}

	/** Reads an answer, and keeps what later ones may be diffs to. */
	#read(message: FollowAnswerMessage): Either<PeerFault, PeerAnswer> {
		this.#countContent(message);
		const answer = readAnswer(message, this.#recent);
		answer.ifRight(({readings}) => {
			for (const {kind, changes} of readings) {
				const present = changes.filter(({removed}) => !removed);
				this.#recent.record(
					kind,
					present.map(({object}) => object),
				);
			}
		});
		return answer.mapLeft(({message: error}) => {
			this.context.log.warn('peer-unreadable', {error: error.slice(0, 200)});
			return 'not-current';
		});
	}

	#countContent({readings}: FollowAnswerMessage): void {
		for (const {kind, changes} of readings ?? []) {
			const len = contentLen(changes ?? []);
			if (len > 0) {
				this.context.metrics.peerSent(kind ?? '', len);
			}
		}
	}

	/** The peer's calls count as this daemon's own, as of the earliest time at which it can have answered. */
	#hearOf(
		{heldMs, contactAgeMs, unbrokenMs, failureAgeMs}: PeerAnswer,
		sentAt: Millis,
	): void {
		const answeredAt = Math.min(sentAt + heldMs, this.context.clock.now());
		const contactAt = answeredAt - contactAgeMs;
		this.context.contact.heardOf({
			answeredAt: contactAt,
			failedAt: answeredAt - failureAgeMs,
			since: contactAt - unbrokenMs,
		});
	}

	#deliver(
		peer: Watcher,
		round: Round,
		answer: PeerAnswer,
		sentAt: Millis,
	): void {
		const {clock, log} = this.context;
		this.#standing.answered(peer.vm, clock.now());
		this.#answerDelay.answered(clock.now() - sentAt - answer.heldMs);
		this.#hearOf(answer, sentAt);
		if (this.#current !== peer.vm) {
			this.#current = peer.vm;
			const {vm, failureDomain} = peer;
			log.info('reads-from-peer', {peer: vm, failureDomain});
		}

		for (const reading of answer.readings) {
			const {kind} = reading;
			const interest = this.#interests.get(kind);
			if (interest && interest.since === round.get(kind)) {
				this.#interests.delete(kind);
				interest.resolve(this.#outcomeOf(reading, answer, sentAt));
			}
		}

		this.#schedule();
	}

	#outcomeOf(
		reading: PeerReading | undefined,
		{heldMs}: PeerAnswer,
		sentAt: Millis,
	): PeerOutcome {
		if (reading?.standing !== 'current') {
			return {kind: reading ? 'expired' : 'none'};
		}

		const {revision, contentRevision, ageMs, changedAgeMs, changes} = reading;
		const answeredAt = Math.min(sentAt + heldMs, this.context.clock.now());
		const confirmedAt = answeredAt - ageMs;
		const changedSince =
			changedAgeMs === undefined ? undefined : answeredAt - changedAgeMs;
		return {
			kind: 'read',
			revision,
			contentRevision,
			confirmedAt,
			changedSince,
			changes,
		};
	}

	#fail(peer: Watcher, fault: PeerFault): void {
		const {clock, metrics, log} = this.context;
		metrics.peerFailed(fault);
		this.#standing.failed(peer.vm, fault, clock.now());
		if (this.#current === peer.vm) {
			this.#current = undefined;
			log.info('peer-left', {
				peer: peer.vm,
				fault,
				next: this.#standing.best?.vm ?? 'store',
			});
		}
	}

	#endInterests(): void {
		const interests = [...this.#interests.values()];
		this.#interests.clear();
		for (const {resolve} of interests) {
			resolve({kind: 'none'});
		}
	}

	#probe(): void {
		const now = this.context.clock.now();
		for (const peer of this.#standing.dueProbes(now)) {
			this.#standing.probing(peer.vm, now);
			void this.#probePeer(peer);
		}
	}

	async #probePeer(peer: Watcher): Promise<void> {
		const {mesh, clock} = this.context;
		const question = {holdMs: 0, interests: []};
		const call = mesh.call(peer.address, follow, question, callMs);
		fold(
			this.#judge(await call),
			(fault) => {
				this.#fail(peer, fault);
			},
			() => {
				const wasUsable = this.isUsable;
				this.#standing.answered(peer.vm, clock.now());
				if (!wasUsable) {
					this.usable.publish(clock.now());
				}
			},
		);
	}
}

function isInContact({contactAgeMs, failureAgeMs}: PeerAnswer): boolean {
	return contactAgeMs <= maxContactAgeMs && failureAgeMs >= contactAgeMs;
}
