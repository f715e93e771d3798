/** How often a reader lists a kind of object while its watchers differ in what they remember. */
import 'reflect-metadata';
import test from 'ava';
import {SeededRandom, type Millis} from '@kingcuproute/core';
import {ObjectStore} from '@kingcuproute/platform';
import {PeerReads, type PeerOutcome} from '../src/gateway/peer-reads.js';
import {StoreContact} from '../src/gateway/store-contact.js';
import {readThrough, serverReportMs} from './relayed-reader.js';
import {ManualClock} from './timers.js';

const callMs: Millis = 10;
const holdMs: Millis = 400;

/** What a watcher knows: its newest revision, and the copies of the objects that it has had since. */
type Watcher = {readonly revision: number; readonly content: number};

/** A store that is not asked, since there are watchers. */
class UnusedStore extends ObjectStore {
	override async list(): Promise<never> {
		throw new Error('not used');
	}

	override async watch(): Promise<never> {
		throw new Error('not used');
	}

	override async write(): Promise<never> {
		throw new Error('not used');
	}

	override async remove(): Promise<never> {
		throw new Error('not used');
	}
}

/** Answers from one watcher after another. */
class PlayedPeers extends PeerReads {
	lists = 0;
	override readonly isUsable = true;
	override readonly isStoreAway = false;

	constructor(
		private readonly clock: ManualClock,
		public watcher: Watcher,
	) {
		super();
	}

	override async list(): Promise<PeerOutcome> {
		this.lists++;
		await this.clock.sleep(callMs);
		return this.#read();
	}

	override async watch(_kind: string, since: number): Promise<PeerOutcome> {
		const isKnown = since >= this.watcher.content;
		await this.clock.sleep(isKnown ? holdMs : callMs);
		return isKnown ? this.#read() : {kind: 'expired'};
	}

	override hurry(): void {
		// The watchers have nothing to gather.
	}

	#read(): PeerOutcome {
		const {revision, content} = this.watcher;
		return {
			kind: 'read',
			revision,
			contentRevision: content,
			confirmedAt: this.clock.now(),
			changedSince: undefined,
			changes: [],
		};
	}
}

test('a reader that changes to a watcher with a shorter history lists once', async (t) => {
	const clock = new ManualClock();
	const peers = new PlayedPeers(clock, {revision: 100, content: 5});
	const follower = readThrough(
		peers,
		new UnusedStore(),
		new StoreContact(clock, {serverReportMs}),
		{clock, random: new SeededRandom(1)},
	);
	await clock.advance(2000);
	t.is(follower.revision, 100);
	peers.watcher = {revision: 90, content: 50};
	peers.lists = 0;
	await clock.advance(10_000);
	t.is(peers.lists, 1);
	follower.stop();
});
