/**
 * Which daemons follow the platform's store by themselves, the watchers, and which of them
 * the others read from. Answers the load of a large fleet on the store, where every call is
 * charged: one daemon in 16 of a failure domain calls the store for all. All daemons choose
 * alike from the daemons' entries, so that no election is needed; while their lists differ,
 * a daemon that is asked although it is no watcher refuses.
 */
import {rendezvous} from '../chance/hash.js';
import {type RegisteredDaemon} from './standbys.js';

/** A registered daemon; one without an address can't be reached by others. */
export type PeerEntry = RegisteredDaemon & {
	readonly address?: string | undefined;
	readonly capacity?: number | undefined;
};

/** A watcher, as others reach it. */
export type Watcher = RegisteredDaemon & {readonly address: string};

/** With fewer daemons in a domain, peers would save few calls. */
const minDaemons = 4;
/** Share of a domain's daemons that are watchers: one in as many. */
const daemonsPerWatcher = 16;

/** Whether the daemons of a failure domain read from watchers. */
export function hasWatchers(
	failureDomain: string,
	daemons: readonly PeerEntry[],
): boolean {
	const local = daemons.filter(
		(daemon) => daemon.failureDomain === failureDomain,
	);
	return (
		local.length >= minDaemons &&
		local.some(({address}) => address !== undefined)
	);
}

/** The watchers of one failure domain, those of highest capacity. */
export function chooseWatchers(
	failureDomain: string,
	daemons: readonly PeerEntry[],
): readonly Watcher[] {
	if (!hasWatchers(failureDomain, daemons)) {
		return [];
	}

	const local = daemons.filter(
		(daemon) => daemon.failureDomain === failureDomain,
	);
	return local
		.flatMap(({vm, address, capacity = 0}) =>
			address === undefined ? [] : [{vm, failureDomain, address, capacity}],
		)
		.sort((a, b) => b.capacity - a.capacity || (a.vm < b.vm ? -1 : 1))
		.slice(0, Math.ceil(local.length / daemonsPerWatcher))
		.map(({vm, address}) => ({vm, failureDomain, address}));
}

/**
 * The watchers that a daemon reads from, in its order of preference: those of its own
 * domain first. None if it follows the store by itself.
 */
export function choosePeers(
	self: RegisteredDaemon,
	daemons: readonly PeerEntry[],
): readonly Watcher[] {
	const own = chooseWatchers(self.failureDomain, daemons);
	if (own.length === 0 || own.some(({vm}) => vm === self.vm)) {
		return [];
	}

	const domains = new Set(daemons.map(({failureDomain}) => failureDomain));
	domains.delete(self.failureDomain);
	const others = [...domains].flatMap((domain) =>
		chooseWatchers(domain, daemons),
	);
	return [...ranked(self.vm, own), ...ranked(self.vm, others)];
}

function ranked(vm: string, watchers: readonly Watcher[]): readonly Watcher[] {
	const byVm = new Map(watchers.map((watcher) => [watcher.vm, watcher]));
	return rendezvous(vm, [...byVm.keys()]).map((name) => byVm.get(name)!);
}
