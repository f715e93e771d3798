/** The parts of a fleet that reads the store through watchers, on a manual clock. */
import {CheckPace, type Millis, type Random} from '@kingcuproute/core';
import {type Mesh} from '@kingcuproute/mesh';
import {type ObjectStore} from '@kingcuproute/platform';
import {pino} from 'pino';
import {GatewayMetrics} from '../src/gateway/gateway-metrics.js';
import {KindFollower} from '../src/gateway/kind-follower.js';
import {ObservedStore} from '../src/gateway/observed-store.js';
import {PeerLink} from '../src/gateway/peer-link.js';
import {type PeerReads} from '../src/gateway/peer-reads.js';
import {RelayAnswers} from '../src/gateway/relay-answers.js';
import {RelayedStore} from '../src/gateway/relayed-store.js';
import {StoreContact} from '../src/gateway/store-contact.js';
import {LineStream} from '../src/log/line-stream.js';
import {Log} from '../src/log/log.js';
import {type ManualClock} from './timers.js';

/** The kind of object that is followed where no other is named. */
export const kind = 'k';
export const serverReportMs: Millis = 870;
/** As long as the users' sites allow outdated state after a disturbance. */
const outdatedMs: Millis = 3000;
/** Between two checks of a poll. */
const watcherGapMs: Millis = 300;
const readerGapMs: Millis = 1500;
const log = new Log(pino({base: {}}, new LineStream(() => undefined)));

/** What all daemons of the fleet share. */
export type FleetParts = {
	readonly clock: ManualClock;
	readonly random: Random;
	readonly mesh: Mesh;
};

/** Follows the store by itself and answers those who read through it; the mesh registers its handlers for it. */
export function startWatcher(
	{clock, random, mesh}: FleetParts,
	store: ObjectStore,
	followed = kind,
): KindFollower {
	const contact = new StoreContact(clock, {serverReportMs});
	const observed = new ObservedStore(store, new GatewayMetrics(), contact);
	const follower = follow(observed, {clock, random}, watcherGapMs, followed);
	new RelayAnswers({
		followers: new Map([[followed, follower]]),
		contact,
		clock,
		isReady: () => follower.objects.value !== undefined,
		onUnready: () => undefined,
	}).serveOn(mesh);
	return follower;
}

/** Reads through watchers, whose names are their addresses and begin with their failure domains, or from `store`. */
export function startReader(
	{clock, random, mesh}: FleetParts,
	store: ObjectStore,
	contact: StoreContact,
	watchers: readonly string[],
	followed = kind,
): KindFollower {
	const metrics = new GatewayMetrics();
	const link = new PeerLink({mesh, contact, clock, random, metrics, log});
	const observed = new ObservedStore(store, metrics, contact);
	const reader = readThrough(link, observed, contact, {
		clock,
		random,
		followed,
	});
	link.setPeers(
		watchers.map((vm) => ({vm, failureDomain: vm[0], address: vm})),
	);
	return reader;
}

/** Reads through `peers`, or from `store`. */
export function readThrough(
	peers: PeerReads,
	store: ObjectStore,
	contact: StoreContact,
	{
		clock,
		random,
		followed = kind,
	}: Pick<FleetParts, 'clock' | 'random'> & {readonly followed?: string},
): KindFollower {
	const relayed = new RelayedStore({
		store,
		contact,
		clock,
		random,
		metrics: new GatewayMetrics(),
		log,
		startsStale: true,
	});
	relayed.setPeers(peers);
	return follow(relayed, {clock, random}, readerGapMs, followed);
}

function follow(
	store: ObjectStore,
	{clock, random}: Pick<FleetParts, 'clock' | 'random'>,
	gapMs: Millis,
	followed: string,
): KindFollower {
	const checkPace = CheckPace.within(outdatedMs);
	checkPace.gapMs = gapMs;
	const follower = new KindFollower(followed, {
		store,
		clock,
		random,
		log,
		checkPace,
	});
	follower.start();
	return follower;
}
