/**
 * Forwards news to peers down a tree, and pulls from a peer at intervals to get
 * what this daemon missed.
 */
import {
	Clock,
	Random,
	type Cancel,
	type VersionedObject,
	type Millis,
} from '@kingcuproute/core';
import {
	Mesh,
	pull,
	push,
	type PageMessage,
	type PullMessage,
	type PushMessage,
} from '@kingcuproute/mesh';
import {inject, singleton} from 'tsyringe';
import {Log} from '../log/log.js';
import {Task} from '../task/task.js';
import {CatchUp} from './catch-up.js';
import {ConfigTask, type ForwardedNews} from './config-task.js';
import {FollowTask} from './follow-task.js';
import {Identity} from './identity.js';
import {MembershipTask} from './membership-task.js';
import {accountsOf, objectsOf, messageLen} from './messages.js';
import {digestOf, pageFor} from './page-answer.js';
import {pagesOf} from './pages.js';
import {encodePush, decodePush} from './table-changes.js';

const pullMs: Millis = 1000;
const callTimeoutMs: Millis = 800;
const fastPullMs: Millis = 50;
/** A daemon that holds no configuration pulls at `fastPullMs` for this many pulls, then at `pullMs`. */
const maxFastPulls = 20;

@singleton()
export class SpreadTask extends Task {
	#cancel: Cancel | undefined;
	#pulling = false;
	#pullCount = 0;
	#stops: ReadonlyArray<() => void> = [];
	readonly #catchUp: CatchUp;

	constructor(
		@inject('Mesh') private readonly mesh: Mesh,
		@inject(ConfigTask) private readonly config: ConfigTask,
		@inject(FollowTask) private readonly follow: FollowTask,
		@inject(MembershipTask) private readonly membership: MembershipTask,
		@inject(Identity) private readonly self: Identity,
		@inject('Clock') private readonly clock: Clock,
		@inject('Random') private readonly random: Random,
		@inject(Log) private readonly log: Log,
	) {
		super();
		this.#catchUp = new CatchUp({
			clock,
			random,
			pull: async (address) => this.#pull(address),
		});
		mesh.serve(push, (message) => {
			this.#handlePush(message);
			return {};
		});
		mesh.serve(pull, (message) =>
			pageFor(message, {
				replica: this.config.replica,
				membership: this.membership.membership,
				store: this.config.store.value,
				relay: this.follow.relay,
			}),
		);
	}

	override async start(): Promise<void> {
		this.#stops = [
			this.config.news.subscribe((news) => {
				this.#forward(news);
			}),
			this.membership.members.subscribe((members) => {
				this.#catchUp.update(members, this.membership.membership);
			}),
		];
		this.#schedulePull();
	}

	override async stop(): Promise<void> {
		for (const stop of this.#stops) {
			stop();
		}

		this.#catchUp.stop();
		this.#cancel?.();
	}

	#forward({
		objects,
		range,
		scope,
		root = this.self.id,
		viewBefore,
	}: ForwardedNews): void {
		const children = this.membership
			.roster()
			.children(root, this.self.id, scope);
		const {objects: whole, changes} = encodePush(objects, viewBefore);
		const messages = pagesOf(whole, messageLen).map((page, index, pages) => ({
			objects: [...page],
			...(index === 0 && {changes: [...changes]}),
			root,
			fleet: scope === 'fleet',
			// The range may be applied only with all of its objects, so it is left out if they take several pages.
			...(pages.length === 1 && range),
			sender: this.self.address,
		}));
		for (const {address} of children) {
			for (const message of messages) {
				void this.mesh.call(address, push, message, callTimeoutMs);
			}
		}
	}

	#handlePush(message: PushMessage): void {
		const {root, fleet, since = 0, upto = 0, sender} = message;
		const {complete, view} = this.config.replica;
		const {objects, misses} = decodePush(message, view);
		const range = upto ? {since: since ?? 0, upto} : undefined;
		const mustPull = misses || (range && range.since > complete);
		this.config.applyNews({
			objects,
			...(!misses && range && {range}),
			root: root ?? '',
			scope: fleet ? 'fleet' : 'domain',
		});
		if (mustPull && sender) {
			void this.#pull(sender);
		}
	}

	#schedulePull(): void {
		const isSteady =
			this.config.replica.complete > 0 || this.#pullCount > maxFastPulls;
		const ms = this.random.jitter(isSteady ? pullMs : fastPullMs);
		this.#cancel = this.clock.after(ms, () => {
			this.#schedulePull();
			void this.#pull(this.#nextPeer());
		});
	}

	/** Alternates between a contact and the parent in the tree below the domain's first relay. */
	#nextPeer(): string | undefined {
		this.#pullCount++;
		const contacts = this.membership.roster().ringContacts(this.self.id);
		const contact = this.random.pick(contacts)?.address;
		return this.#pullCount % 2 === 0 ? (this.#parent() ?? contact) : contact;
	}

	#parent(): string | undefined {
		const roster = this.membership.roster();
		const [root] = roster.relays(this.self.failureDomain);
		return root && roster.parent(root.id, this.self.id)?.address;
	}

	/** Pulls from the daemon at the address, unless another pull is in progress; resolves to whether it answered. */
	async #pull(address: string | undefined): Promise<boolean> {
		if (address === undefined || this.#pulling) {
			return false;
		}

		this.#pulling = true;
		try {
			return await this.#pullPages(address);
		} catch (error) {
			this.log.error('pull-fault', {peer: address, error: String(error)});
			return false;
		} finally {
			this.#pulling = false;
		}
	}

	async #pullPages(address: string): Promise<boolean> {
		const {complete} = this.config.replica;
		const all: VersionedObject[] = [];
		let after = 0;
		let whole: boolean | undefined;
		for (;;) {
			const answer = await this.mesh.call(
				address,
				pull,
				this.#pullRequest(complete, after),
				callTimeoutMs,
			);
			if (answer.isLeft()) {
				const {kind, message: error} = answer.extract();
				this.log.warn('pull-failed', {peer: address, kind, error});
				return false;
			}

			const page = answer.extract() as PageMessage;
			const objects = objectsOf(page.objects);
			whole ??= page.whole ?? false;
			if (whole !== (page.whole ?? false)) {
				return false;
			}

			all.push(...objects);
			if (!page.more) {
				this.#applyPull(address, complete, page, all);
				return true;
			}

			after = objects.at(-1)!.version;
		}
	}

	#applyPull(
		address: string,
		since: number,
		page: PageMessage,
		objects: readonly VersionedObject[],
	): void {
		this.membership.merge(accountsOf(page.accounts), page.gone ?? []);
		// A parent gets the state of the store from its own parent, and so on up to the relay that watches the platform.
		const knowsStoreState = page.relay === true || address === this.#parent();
		if (knowsStoreState && !this.follow.relay) {
			this.config.setStoreUp(page.storeUp ?? false, page.storeSince ?? 0);
		}

		const upto = page.upto ?? 0;
		const before = this.config.replica;
		this.config.applyPull({whole: page.whole ?? false, since, upto, objects});

		if (this.config.replica !== before) {
			this.log.info('config-pulled', {
				peer: address,
				since,
				version: this.config.replica.complete,
				objects: objects.length,
			});
		}
	}

	#pullRequest(complete: number, after: number): PullMessage {
		return {
			complete,
			after,
			unstored: digestOf(this.config.replica.unstored()),
			members: [...this.membership.membership.digests()],
		};
	}
}
