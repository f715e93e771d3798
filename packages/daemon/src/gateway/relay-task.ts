/**
 * Joins this daemon with the others of its failure domain: it follows the platform's store
 * through a watcher, or is one for the others. Does nothing in a domain without watchers.
 */
import {
	choosePeers,
	chooseWatchers,
	hasWatchers,
	type Clock,
	type Millis,
	type PeerEntry,
	type Random,
} from '@kingcuproute/core';
import {daemonsKind, type Deployment} from '@kingcuproute/platform';
import {inject, singleton} from 'tsyringe';
import {Log} from '../log/log.js';
import {Task} from '../task/task.js';
import {GatewayMetrics} from './gateway-metrics.js';
import {RelayedReports} from './relayed-reports.js';
import {RelayedStore} from './relayed-store.js';
import {type RelayNode} from './relay-node.js';
import {StoreContact} from './store-contact.js';
import {ViewTask} from './view-task.js';

/**
 * Between two checks of some poll of a watcher, which cost a tenth of a call: so often that
 * those who read from it notice that it has lost the store before its view is outdated.
 */
const watcherCheckMs: Millis = 300;
/** Between two calls for the daemons' entries that peers cause. */
const refreshMs: Millis = 2000;

@singleton()
export class RelayTask extends Task {
	#entries: readonly PeerEntry[] = [];
	#node: RelayNode | undefined;
	#isOpening = false;
	#isWatcher = false;
	#stopped = false;
	#refreshedAt: Millis = -Infinity;
	readonly #usualCheckMs: Millis;

	constructor(
		@inject(ViewTask) private readonly view: ViewTask,
		@inject(RelayedStore) private readonly reads: RelayedStore,
		@inject(RelayedReports) private readonly reports: RelayedReports,
		@inject(StoreContact) private readonly contact: StoreContact,
		@inject('Deployment') private readonly deployment: Deployment,
		@inject('Clock') private readonly clock: Clock,
		@inject('Random') private readonly random: Random,
		@inject(GatewayMetrics) private readonly metrics: GatewayMetrics,
		@inject(Log) private readonly log: Log,
	) {
		super();
		this.#usualCheckMs = view.checkPace.gapMs;
	}

	override async start(): Promise<void> {
		if (this.deployment.peer) {
			this.view.view.subscribe(({entries}) => {
				if (entries !== this.#entries) {
					this.#entries = entries;
					this.#update();
				}
			});
		}
	}

	override async stop(): Promise<void> {
		this.#stopped = true;
		this.reports.stop();
		this.#node?.close();
	}

	#update(): void {
		const {vm, failureDomain} = this.deployment;
		if (!this.#node && hasWatchers(failureDomain, this.#entries)) {
			void this.#open();
			return;
		}

		this.#node?.link.setPeers(choosePeers(this.deployment, this.#entries));
		const isWatcher =
			this.#node !== undefined &&
			chooseWatchers(failureDomain, this.#entries).some(
				(watcher) => watcher.vm === vm,
			);
		if (isWatcher !== this.#isWatcher) {
			this.#isWatcher = isWatcher;
			this.view.checkPace.gapMs = isWatcher
				? Math.min(watcherCheckMs, this.#usualCheckMs)
				: this.#usualCheckMs;
			this.log.info('watcher-changed', {isWatcher});
		}
	}

	/** The addresses of all other watchers of the fleet; undefined if this daemon is none. */
	#otherWatchers(): readonly string[] | undefined {
		if (!this.#isWatcher) {
			return undefined;
		}

		const domains = new Set(
			this.#entries.map(({failureDomain}) => failureDomain),
		);
		return [...domains]
			.flatMap((domain) => chooseWatchers(domain, this.#entries))
			.filter(({vm}) => vm !== this.deployment.vm)
			.map(({address}) => address);
	}

	/** The peer that asks knows of daemons that this one does not know of. */
	#refreshEntries(): void {
		const now = this.clock.now();
		if (!this.#isWatcher && now - this.#refreshedAt >= refreshMs) {
			this.#refreshedAt = now;
			this.view.followers.get(daemonsKind)?.refresh();
		}
	}

	async #open(): Promise<void> {
		if (this.#isOpening) {
			return;
		}

		this.#isOpening = true;
		const {createNode} = await import('./relay-node.js');
		if (this.#stopped) {
			return;
		}

		const {clock, random, metrics, log, contact, view, reads} = this;
		const node = createNode({
			clock,
			random,
			metrics,
			log,
			contact,
			followers: view.followers,
			isReady: () => view.isComplete && this.#isWatcher,
			onUnready: () => {
				this.#refreshEntries();
			},
			receive: (message) => this.reports.receive(message),
		});
		this.#node = node;
		reads.setPeers(node.link);
		this.reports.start({
			send: async (address, message) => node.report(address, message),
			peer: () => node.link.best?.address,
			watchers: () => this.#otherWatchers(),
		});
		try {
			const port = await node.listen(this.deployment.peer!.address);
			log.info('listening-for-peers', {port});
		} catch (error) {
			// It can read from peers, and they from other watchers.
			const {message} = error as Error;
			log.error('not-listening-for-peers', {message});
		}

		this.#update();
	}
}
