/**
 * Answers peers that follow the platform's store through this daemon, from the objects that
 * it follows by itself. Says with each answer how long ago the store confirmed them, and
 * whether this daemon's own calls fail, so that a peer can judge them as its own.
 */
import {KindHistory, type Clock, type Millis} from '@kingcuproute/core';
import {
	follow,
	listKind,
	relayStanding,
	type FollowAnswerMessage,
	type FollowMessage,
	type HeldObjectMessage,
	type InterestMessage,
	type KindReadingMessage,
	type Mesh,
	type RelayedChangeMessage,
} from '@kingcuproute/mesh';
import {type StoredObject} from '@kingcuproute/platform';
import {type KindFollower} from './kind-follower.js';
import {RecentObjects} from './recent-objects.js';
import {contentLen, messageOf} from './relay-messages.js';
import {type StoreContact} from './store-contact.js';

/** Bounds what peers can make this daemon keep. */
const maxHoldMs: Millis = 2000;
/** More content than this is sent as a list, which does not delay the small messages of the connection. */
const maxChangesLen = 256 * 1024;
/** Between two refreshes of a kind that peers make this daemon ask the store for. */
const refreshMs: Millis = 500;
/** A peer without contact to the store for this long is left, at which an outage is noticed as soon as by a call of one's own. */
export const maxContactAgeMs: Millis = 800;

/** Stands for any longer time, such as that since a call that was never made. */
const maxAgeMs: Millis = 1e9;

type FollowedKind = {
	readonly follower: KindFollower;
	readonly history: KindHistory<StoredObject>;
	refreshedAt: Millis;
};

export type AnswersContext = {
	readonly followers: ReadonlyMap<string, KindFollower>;
	readonly contact: StoreContact;
	readonly clock: Clock;
	/** Whether this daemon is a watcher and knows all kinds. */
	readonly isReady: () => boolean;
	/** Called when a peer asks though this daemon is not ready. */
	readonly onUnready: () => void;
};

export class RelayAnswers {
	readonly #kinds: ReadonlyMap<string, FollowedKind>;
	/** Questions that wait for news: called on each change. */
	readonly #waiting = new Set<() => void>();
	/** The bases of diffs. */
	readonly #recent = new RecentObjects();

	constructor(private readonly context: AnswersContext) {
		this.#kinds = new Map(
			[...context.followers].map(([kind, follower]) => [
				kind,
				this.#follow(kind, follower),
			]),
		);
	}

	serveOn(mesh: Mesh): void {
		mesh.serve(follow, async (question) => this.#answer(question));
		mesh.serve(listKind, ({kind}) => this.#list(kind ?? ''));
	}

	#follow(kind: string, follower: KindFollower): FollowedKind {
		const history = new KindHistory<StoredObject>();
		const update = () => {
			const {value} = follower.objects;
			if (value && follower.revision !== undefined) {
				const {changedSince} = follower.reading;
				history.update(value, follower.revision, changedSince);
				this.#recent.record(kind, value.values());
				for (const notify of this.#waiting) {
					notify();
				}
			}
		};

		update();
		follower.objects.subscribe(update);
		return {follower, history, refreshedAt: -Infinity};
	}

	async #answer({
		holdMs = 0,
		interests,
	}: FollowMessage): Promise<FollowAnswerMessage> {
		this.#refuseUnlessReady();
		const {clock} = this.context;
		const startedAt = clock.now();
		const until = startedAt + Math.min(maxHoldMs, holdMs ?? 0);
		const read = () =>
			(interests ?? []).map((interest) => this.#read(interest));
		let readings = read();
		while (
			clock.now() < until &&
			this.#isInContact() &&
			!readings.some((reading) => hasNews(reading))
		) {
			await this.#untilNews(until);
			readings = read();
		}

		this.#refuseUnlessReady();
		return this.#answerWith(readings, clock.now() - startedAt);
	}

	#list(kind: string): FollowAnswerMessage {
		this.#refuseUnlessReady();
		const {history} = this.#kindOf(kind);
		const changes = [...history.objects].map((object) => messageOf(object));
		return this.#answerWith([{...this.#headOf(kind), changes}], 0);
	}

	#refuseUnlessReady(): void {
		if (!this.context.isReady()) {
			this.context.onUnready();
			throw new Error('does not follow the store');
		}
	}

	#isInContact(): boolean {
		const {contact, clock} = this.context;
		const ageMs = clock.now() - contact.lastAnswerAt;
		return !contact.isFailing && ageMs < maxContactAgeMs;
	}

	async #untilNews(until: Millis): Promise<void> {
		const {clock, contact} = this.context;
		const contactUntil = contact.lastAnswerAt + maxContactAgeMs;
		const waitMs = Math.min(until, contactUntil) - clock.now();
		await new Promise<void>((resolve) => {
			const end = () => {
				cancel();
				this.#waiting.delete(end);
				resolve();
			};

			const cancel = clock.after(waitMs, end);
			this.#waiting.add(end);
		});
	}

	#kindOf(kind: string): FollowedKind {
		const followed = this.#kinds.get(kind);
		if (!followed) {
			throw new RangeError(`no kind ${kind}`);
		}

		return followed;
	}

	#headOf(kind: string): KindReadingMessage {
		const {follower, history} = this.#kindOf(kind);
		const {contentRevision} = history;
		return {
			kind,
			revision: Math.max(contentRevision, follower.revision ?? 0),
			contentRevision,
			ageMs: this.#ageOf(follower.lastSuccessAt),
		};
	}

	#read(interest: InterestMessage): KindReadingMessage {
		const {urgent, held} = interest;
		const kind = interest.kind ?? '';
		const since = interest.since ?? 0;
		const {follower, history} = this.#kindOf(kind);
		const head = this.#headOf(kind);
		if (urgent) {
			follower.hurry();
		}

		if ((head.revision ?? 0) < since) {
			this.#refresh(kind);
			return {...head, standing: relayStanding.BEHIND};
		}

		const changes = history.changesAfter(since);
		if (!changes) {
			return {...head, standing: relayStanding.EXPIRED};
		}

		const messages: RelayedChangeMessage[] = [
			...changes.objects.map((object) =>
				messageOf(object, this.#baseOf(kind, object, held ?? [])),
			),
			...changes.removed.map((removal) => ({...removal, removed: true})),
		];
		return contentLen(messages) > maxChangesLen
			? {...head, standing: relayStanding.EXPIRED}
			: {
					...head,
					changes: messages,
					...(messages.length > 0 && {
						changedAgeMs: this.#ageOf(changes.changedSince),
					}),
				};
	}

	/** The revision of the object that the asker holds, if this daemon has it, too. */
	#baseOf(
		kind: string,
		{name}: StoredObject,
		held: readonly HeldObjectMessage[],
	): StoredObject | undefined {
		const revision = held.find((each) => each.name === name)?.revision;
		return revision ? this.#recent.at(kind, name, revision) : undefined;
	}

	/** Asks the store for the revision that a peer has already. */
	#refresh(kind: string): void {
		const followed = this.#kindOf(kind);
		const now = this.context.clock.now();
		if (now - followed.refreshedAt >= refreshMs) {
			followed.refreshedAt = now;
			followed.follower.refresh();
		}
	}

	#answerWith(
		readings: KindReadingMessage[],
		heldMs: Millis,
	): FollowAnswerMessage {
		const {contact} = this.context;
		return {
			heldMs,
			unbrokenMs: contact.unbrokenMs,
			contactAgeMs: this.#ageOf(contact.lastAnswerAt),
			failureAgeMs: this.#ageOf(contact.lastFailureAt),
			readings,
		};
	}

	#ageOf(at: Millis): Millis {
		return Math.min(maxAgeMs, this.context.clock.now() - at);
	}
}

/** Whether an answer is due: a peer that is ahead waits until this daemon has asked the store. */
function hasNews({standing, changes}: KindReadingMessage): boolean {
	return (
		standing === relayStanding.EXPIRED ||
		(standing !== relayStanding.BEHIND && (changes?.length ?? 0) > 0)
	);
}
