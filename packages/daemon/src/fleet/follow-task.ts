/**
 * Watches the platform while this daemon is a relay of its failure domain, or has
 * no peer to get news from. The watch starts from the version held; the objects are
 * listed only if nothing is held or the platform no longer keeps the missed changes.
 */
import {
	fold,
	Clock,
	Random,
	type Cancel,
	type Millis,
} from '@kingcuproute/core';
import {
	Platform,
	type Listing,
	type PlatformError,
	type StopWatch,
	type WatchEvent,
} from '@kingcuproute/platform';
import {inject, singleton} from 'tsyringe';
import {Log} from '../log/log.js';
import {Mailbox} from '../task/mailbox.js';
import {Task} from '../task/task.js';
import {ConfigTask} from './config-task.js';
import {Identity} from './identity.js';
import {MembershipTask} from './membership-task.js';

const checkMs: Millis = 250;
const firstRetryMs: Millis = 200;
const maxRetryMs: Millis = 1000;

type Message =
	| {readonly kind: 'check'}
	| {readonly kind: 'retry'}
	| {
			readonly kind: 'event';
			readonly watchId: number;
			readonly event: WatchEvent;
	  };

@singleton()
export class FollowTask extends Task {
	#watchId = 0;
	#stopWatch: StopWatch | undefined;
	#isFollowing = false;
	#lastVersion = 0;
	#retryMs = firstRetryMs;
	#mustList = false;
	#cancels: readonly Cancel[] = [];
	#cancelRetry: Cancel | undefined;
	readonly #mailbox = new Mailbox<Message>(
		async (message) => this.#handle(message),
		(error) => {
			this.log.error('follow-fault', {error: String(error)});
		},
	);

	constructor(
		@inject('Platform') private readonly platform: Platform,
		@inject(ConfigTask) private readonly config: ConfigTask,
		@inject(MembershipTask) private readonly membership: MembershipTask,
		@inject(Identity) private readonly self: Identity,
		@inject('Clock') private readonly clock: Clock,
		@inject('Random') private readonly random: Random,
		@inject(Log) private readonly log: Log,
	) {
		super();
	}

	/** Whether this daemon watches the platform. */
	get relay(): boolean {
		return this.#isFollowing;
	}

	override async start(): Promise<void> {
		this.#mailbox.post({kind: 'check'});
		this.#cancels = [
			this.clock.repeat(checkMs, () => {
				this.#mailbox.post({kind: 'check'});
			}),
		];
	}

	override async stop(): Promise<void> {
		this.#mailbox.close();
		for (const cancel of this.#cancels) {
			cancel();
		}

		this.#unfollow();
	}

	async #handle(message: Message): Promise<void> {
		switch (message.kind) {
			case 'check': {
				await this.#check();
				break;
			}

			case 'retry': {
				if (this.#isFollowing) {
					await this.#resume();
				}

				break;
			}

			case 'event': {
				if (message.watchId === this.#watchId) {
					this.#handleEvent(message.event);
				}

				break;
			}
		}
	}

	async #check(): Promise<void> {
		const isRelay = this.membership
			.roster()
			.relays(this.self.failureDomain)
			.some(({id}) => id === this.self.id);
		if (isRelay && !this.#isFollowing) {
			this.log.info('relay-started');
			this.#isFollowing = true;
			await this.#resume();
		} else if (!isRelay && this.#isFollowing) {
			this.log.info('relay-stopped');
			this.#unfollow();
		}
	}

	async #resume(): Promise<void> {
		const {complete} = this.config.replica;
		if (complete > 0 && !this.#mustList) {
			this.#watchFrom(complete);
			return;
		}

		const listing = await this.platform.list();
		fold(
			listing,
			(error) => {
				this.#retry(error);
			},
			(listed) => {
				this.#handleListing(listed);
			},
		);
	}

	#handleListing({version, objects, unreadable}: Listing): void {
		for (const object of unreadable) {
			this.log.warn('object-unreadable', object);
		}

		const news = this.config.applyListing(version, objects, unreadable);
		this.log.info('config-listed', {version, objects: objects.length, news});
		if (news || version === this.config.replica.complete) {
			this.#mustList = false;
		}

		this.#watchFrom(version);
	}

	#watchFrom(since: number): void {
		this.#lastVersion = since;
		const watchId = ++this.#watchId;
		this.#stopWatch?.();
		this.#stopWatch = this.platform.watch(since, (event) => {
			this.#mailbox.post({kind: 'event', watchId, event});
		});
	}

	#handleEvent(event: WatchEvent): void {
		switch (event.kind) {
			case 'opened': {
				this.#retryMs = firstRetryMs;
				this.config.setStoreUp(true);
				break;
			}

			case 'changed': {
				const {held} = event;
				const range = {since: this.#lastVersion, upto: held.version};
				this.#lastVersion = held.version;
				this.config.applyNews({objects: [held], range, scope: 'domain'});
				break;
			}

			case 'unreadable': {
				this.log.warn('object-unreadable', event.object);
				break;
			}

			case 'ended': {
				this.#mustList = event.error.kind === 'expired';
				this.#retry(event.error);
				break;
			}
		}
	}

	#retry(error: PlatformError): void {
		if (error.kind !== 'expired') {
			this.config.setStoreUp(false);
		}

		const ms = this.random.jitter(this.#retryMs);
		this.#retryMs = Math.min(maxRetryMs, this.#retryMs * 2);
		this.log.warn('store-unavailable', {
			error: error.message,
			retryMs: Math.round(ms),
		});
		this.#cancelRetry = this.clock.after(ms, () => {
			this.#mailbox.post({kind: 'retry'});
		});
	}

	#unfollow(): void {
		this.#isFollowing = false;
		this.#watchId++;
		this.#cancelRetry?.();
		this.#stopWatch?.();
		this.#stopWatch = undefined;
	}
}
