/**
 * Watches the neighbours of this daemon in the ring of daemons. It sends heartbeats
 * to the daemons after it up to and including the next live one, and gets them from
 * the live daemon before it. If a neighbour falls silent, other daemons try to reach
 * it; it counts as out only if none of them can.
 */
import {
	type Cancel,
	type Clock,
	type Member,
	type Membership,
	type Millis,
	type Random,
	type Roster,
} from '@kingcuproute/core';
import {beat, probe, type Mesh} from '@kingcuproute/mesh';
import {type Log} from '../log/log.js';
import {type Settings} from '../settings/settings.js';
import {WatchedDaemon} from './watched.js';

const maxProbers = 3;
const tickMs: Millis = 40;

/** What the watch needs to know of the fleet. */
export type Ring = {
	readonly membership: Membership;
	/** Live members. */
	readonly live: Roster<Member>;
	/** Every daemon not proved gone, including those that are out. */
	readonly everyone: Roster<Member>;
};

export type RingWatchParts = {
	readonly self: string;
	readonly mesh: Mesh;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly settings: Settings['fleet'];
	readonly setOut: (id: string, out: boolean, why: string) => void;
	/** Called if the daemon at an address is not the expected one, or considers this daemon out or does not know it. */
	readonly introduceTo: (address: string) => void;
};

export class RingWatch {
	#ring: Ring | undefined;
	#watched: ReadonlyMap<string, WatchedDaemon> = new Map();
	#lastTick: Millis = 0;
	#cancel: Cancel | undefined;

	constructor(private readonly parts: RingWatchParts) {
		parts.mesh.serve(beat, ({from}) => {
			const watched = this.#watched.get(from ?? '');
			if (watched) {
				this.#recordAlive(watched);
			}

			return {from: parts.self, stranger: this.#isOut(from ?? '') ?? true};
		});
		parts.mesh.serve(probe, async ({id, address}) => ({
			reached: await this.#reaches(id ?? '', address ?? ''),
		}));
	}

	start(): void {
		const {clock} = this.parts;
		this.#lastTick = clock.now();
		this.#cancel = clock.repeat(tickMs, () => {
			this.#tick();
		});
	}

	stop(): void {
		this.#cancel?.();
	}

	/** Replaces the ring, and watches the neighbours in it from now on. */
	setRing(ring: Ring): void {
		this.#ring = ring;
		this.#chooseNeighbours(this.parts.clock.now());
	}

	#tick(): void {
		const now = this.parts.clock.now();
		const {silenceMs} = this.parts.settings;
		// After a pause of this process its evidence is stale, so the watch starts anew.
		if (now - this.#lastTick > silenceMs / 2) {
			this.parts.log.warn('paused', {ms: Math.round(now - this.#lastTick)});
			this.#watched = new Map();
			this.#chooseNeighbours(now);
		}

		this.#lastTick = now;
		for (const watched of this.#watched.values()) {
			if (watched.isHeartbeatTarget && now >= watched.nextBeatAt) {
				void this.#beat(watched);
			}

			if (now - watched.heardAt > silenceMs && !watched.doubted) {
				void this.#confirmSilence(watched);
			}
		}
	}

	#chooseNeighbours(now: Millis): void {
		const next = new Map<string, WatchedDaemon>();
		const watch = (member: Member, isHeartbeatTarget: boolean) => {
			const known = this.#watched.get(member.id);
			const kept =
				known?.isHeartbeatTarget === isHeartbeatTarget ? known : undefined;
			next.set(
				member.id,
				kept ?? new WatchedDaemon(member, isHeartbeatTarget, now),
			);
		};

		const {self} = this.parts;
		const before = this.#ring?.live.after(self).at(-1);
		if (before) {
			watch(before, false);
		}

		for (const member of this.#ring?.everyone.after(self) ?? []) {
			watch(member, true);
			if (!this.#isOut(member.id)) {
				break;
			}
		}

		this.#watched = next;
	}

	async #beat(watched: WatchedDaemon): Promise<void> {
		const {self, mesh, clock, random, settings, introduceTo} = this.parts;
		const {id, address} = watched.member;
		watched.nextBeatAt = clock.now() + random.jitter(settings.beatMs);
		const request = {from: self};
		const answer = await mesh.call(address, beat, request, settings.silenceMs);
		answer.ifRight(({from, stranger}) => {
			if (from !== id || stranger) {
				introduceTo(address);
			}

			if (from === id) {
				this.#recordAlive(watched);
			}
		});
	}

	#recordAlive(watched: WatchedDaemon): void {
		const {id} = watched.member;
		watched.heardAt = this.parts.clock.now();
		watched.doubted = false;
		if (this.#isOut(id)) {
			this.parts.setOut(id, false, 'answered');
		}
	}

	/** Asks other daemons to reach a silent one; it is out only if one of them answers and none reaches it, or if there are no others. */
	async #confirmSilence(watched: WatchedDaemon): Promise<void> {
		watched.doubted = true;
		const {id, address} = watched.member;
		if (this.#isOut(id) !== false) {
			return;
		}

		const {mesh, settings, setOut, clock} = this.parts;
		const probers = this.#pickProbers(id);
		const answers = await Promise.all(
			probers.map(async (prober) =>
				mesh.call(prober, probe, {id, address}, settings.probeMs * 2),
			),
		);
		const answered = answers.filter((answer) => answer.isRight());
		const reached = answers.some(
			(answer) => answer.isRight() && answer.extract().reached,
		);
		const alone = probers.length === 0;
		if (watched.doubted && !reached && (answered.length > 0 || alone)) {
			setOut(id, true, `silent, not reached by ${answered.length} others`);
		}

		// After another silence the others are asked again.
		watched.heardAt = clock.now();
		watched.doubted = false;
	}

	#pickProbers(id: string): readonly string[] {
		const {self, random} = this.parts;
		const others = (this.#ring?.live.ring ?? []).filter(
			(member) =>
				member.id !== id &&
				member.id !== self &&
				!this.#watched.get(member.id)?.doubted,
		);
		const first = random.below(Math.max(1, others.length));
		const rotated = [...others.slice(first), ...others.slice(0, first)];
		return rotated.slice(0, maxProbers).map(({address}) => address);
	}

	async #reaches(id: string, address: string): Promise<boolean> {
		const {mesh, self, settings} = this.parts;
		const request = {from: self};
		const answer = await mesh.call(address, beat, request, settings.probeMs);
		return answer.map(({from}) => from === id).orDefault(false);
	}

	/** Undefined if the daemon is not known. */
	#isOut(id: string): boolean | undefined {
		return this.#ring?.membership.get(id)?.out;
	}
}
