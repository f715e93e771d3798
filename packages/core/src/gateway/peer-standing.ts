/**
 * Which of its peers a daemon reads from. A peer is used once a probe has shown that it
 * answers and is in touch with the store, and left at the first sign to the contrary; the
 * next one is kept proven, so that leaving a peer costs no time. Answers outages of a peer,
 * a link or a failure domain, in which all daemons must not turn to the store together, and
 * outages of the store, in which they must not ask it in place of their peers.
 */
import {type Random} from '../chance/random.js';
import {type Millis} from '../time/clock.js';
import {type Watcher} from './watchers.js';

/** Why a peer was left: no answer, an older view than this daemon's, or one without contact to the store. */
export type PeerFault = 'silent' | 'not-current' | 'store-fails';

type Standing = {
	readonly fault: PeerFault | undefined;
	readonly isProven: boolean;
	readonly checkedAt: Millis;
	readonly probeAt: Millis;
	readonly strikes: number;
};

/** Peers that are kept proven: the one in use and the next. */
const provenPeers = 2;
/** Between two probes of a proven peer that is not in use; keeps its connection open. */
const keepProvenMs: Millis = 10_000;
/** Before the next probe of a peer that answered but is not fit: it may be fit again with its next answer from the store. */
const unfitProbeMs: Millis = 300;
/** Before the first probe of a peer that did not answer; doubles with each probe without an answer. */
const silentProbeMs: Millis = 500;
/** Bounds what a peer that is gone for good costs, and how late one that returned is used. */
const maxProbeMs: Millis = 8000;
/** Two domains have to report the outage of the store, as a single one may be cut off. */
const awayDomains = 2;
/** For how long a peer's word that the store fails counts. */
const awayMs: Millis = 3000;

const unknown: Standing = {
	fault: undefined,
	isProven: false,
	checkedAt: -Infinity,
	probeAt: -Infinity,
	strikes: 0,
};

export class PeerStanding {
	readonly #standings = new Map<string, Standing>();

	constructor(
		readonly peers: readonly Watcher[],
		private readonly random: Random,
	) {}

	/** The standing of the same peers, in a new order or beside new ones. */
	with(peers: readonly Watcher[]): PeerStanding {
		const next = new PeerStanding(peers, this.random);
		const known = new Map(this.peers.map((peer) => [peer.vm, peer.address]));
		for (const {vm, address} of peers) {
			const standing = this.#standings.get(vm);
			if (standing && known.get(vm) === address) {
				next.#standings.set(vm, standing);
			}
		}

		return next;
	}

	/** The first peer that is fit for use. */
	get best(): Watcher | undefined {
		return this.peers.find(({vm}) => this.#of(vm).isProven);
	}

	/**
	 * The peers to be probed now, so that two are proven and better ones are used again.
	 * Those that have been due for longest come first: peers that are probed again and
	 * again, as they stay unfit, must not keep others from being found.
	 */
	dueProbes(now: Millis): readonly Watcher[] {
		const due: Watcher[] = [];
		let proven = 0;
		for (const peer of this.peers) {
			const {isProven, probeAt} = this.#of(peer.vm);
			if (now >= probeAt) {
				due.push(peer);
			}

			proven += isProven ? 1 : 0;
			if (proven === provenPeers) {
				break;
			}
		}

		return due
			.toSorted((a, b) => this.#of(a.vm).probeAt - this.#of(b.vm).probeAt)
			.slice(0, provenPeers);
	}

	/** Records that a probe begins, so that it is not begun twice. */
	probing(vm: string, now: Millis): void {
		this.#set(vm, {...this.#of(vm), probeAt: now + maxProbeMs});
	}

	/** Records an answer that shows the peer fit. */
	answered(vm: string, now: Millis): void {
		this.#set(vm, {
			fault: undefined,
			isProven: true,
			checkedAt: now,
			probeAt: now + keepProvenMs,
			strikes: 0,
		});
	}

	failed(vm: string, fault: PeerFault, now: Millis): void {
		const strikes = fault === 'silent' ? this.#of(vm).strikes + 1 : 0;
		const pauseMs =
			fault === 'silent'
				? Math.min(maxProbeMs, silentProbeMs * 2 ** (strikes - 1))
				: unfitProbeMs;
		this.#set(vm, {
			fault,
			isProven: false,
			checkedAt: now,
			probeAt: now + this.random.jitter(pauseMs),
			strikes,
		});
	}

	/** Whether the store is unavailable by the word of the peers: those of two domains say so, and no peer says otherwise. */
	isStoreAway(now: Millis): boolean {
		const domains = this.peers
			.filter(({vm}) => {
				const {fault, checkedAt} = this.#of(vm);
				return fault === 'store-fails' && now - checkedAt < awayMs;
			})
			.map(({failureDomain}) => failureDomain);
		return this.best === undefined && new Set(domains).size >= awayDomains;
	}

	#of(vm: string): Standing {
		return this.#standings.get(vm) ?? unknown;
	}

	#set(vm: string, standing: Standing): void {
		this.#standings.set(vm, standing);
	}
}
