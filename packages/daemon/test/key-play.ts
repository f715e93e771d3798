/**
 * Plays requests for the keys of one service against the placement of keys: daemons report
 * what they saw, a keeper plans, holders answer the requests that they have before they
 * release keys, and the table is written and read.
 */
import {
	applyMoves,
	joinRanges,
	KeyRecorder,
	maxKey,
	planKeyMoves,
	SeededRandom,
	totalTraffic,
	type KeyMove,
	type KeyTraffic,
	type ListedServer,
	type Millis,
	type RangeTable,
} from '@kingcuproute/core';
import {listedServer} from './gateway-keepers.js';

const stepMs: Millis = 10;
const slots = 3;
const workMs: Millis = 160;
export const targetMs: Millis = 832;
const timeoutMs: Millis = 1559;
const daemons = 20;
/** Requests that a server holds; more are refused. */
const maxHeld = 2 * slots;
/** From the release of keys until daemons have read the table. */
const writeMs: Millis = 300;
const maxReleaseMs: Millis = 3000;
const callerRetryMs: Millis = 300;
/** The share of its time that a request waits for its key to get an owner. */
const ownerWaitShare = 0.3;
/** From the loss of a server until it is no longer listed. */
const lapseMs: Millis = 2000;

/** `share` of the requests are for `len` adjacent keys. */
type HotKeys = {
	readonly at: Millis;
	readonly until: Millis;
	readonly from: number;
	readonly len: number;
	readonly share: number;
};

export type Scene = {
	/** Speeds of the servers; 1 is normal. */
	readonly speeds: readonly number[];
	readonly requestsPerS: number;
	readonly hot: readonly HotKeys[];
	/** When the first server is lost. */
	readonly lostAt?: Millis;
	readonly forMs: Millis;
};

export type Keeper = {
	readonly reportMs: Millis;
	/** Between two reads of the reports. */
	readonly readMs: Millis;
	/** Whether a daemon reports `rates` when its time has come. */
	readonly isDue: (
		daemon: number,
		rates: KeyTraffic['rates'],
		now: Millis,
	) => boolean;
	/** Called every 100 ms. */
	readonly plan: (
		table: RangeTable,
		pending: readonly KeyMove[],
		state: {
			readonly servers: readonly ListedServer[];
			readonly traffic: KeyTraffic;
			readonly now: Millis;
		},
	) => readonly KeyMove[];
};

/** Shares of the callers' requests; `moved` is a multiple of all keys. */
export type Outcome = Readonly<
	Record<'inTime' | 'late' | 'refused' | 'moved' | 'writes' | 'ranges', number>
>;

type Request = {
	readonly key: number;
	readonly at: Millis;
	readonly sentAt: Millis;
	readonly work: Millis;
	readonly isRetry: boolean;
};

class PlayedServer {
	readonly #ends = Array.from({length: slots}, () => 0);
	#held: ReadonlyArray<{readonly key: number; readonly endsAt: Millis}> = [];

	constructor(
		readonly listed: ListedServer,
		readonly speed: number,
		private readonly lostAt: Millis,
	) {}

	/** When the request is answered; undefined if it is refused. */
	take({key, work}: Request, now: Millis): Millis | undefined {
		this.#held = this.#held.filter(({endsAt}) => endsAt > now);
		if (now >= this.lostAt || this.#held.length >= maxHeld) {
			return undefined;
		}

		const freeAt = Math.min(...this.#ends);
		const endsAt = Math.max(now, freeAt) + work / this.speed;
		this.#ends[this.#ends.indexOf(freeAt)] = endsAt;
		this.#held = [...this.#held, {key, endsAt}];
		return endsAt;
	}

	/** When the keys that it is asked for now are free. */
	releaseAt({from, to}: KeyMove, now: Millis): Millis {
		const ends = this.#held
			.filter(({key}) => from <= key && key <= to)
			.map(({endsAt}) => endsAt);
		const endsAt = Math.min(now + maxReleaseMs, Math.max(now, ...ends));
		return now >= this.lostAt ? now : endsAt;
	}

	isListed(now: Millis): boolean {
		return now < this.lostAt + lapseMs;
	}
}

export class KeyPlay {
	readonly #random: SeededRandom;
	readonly #servers: readonly PlayedServer[];
	readonly #recorders: readonly KeyRecorder[];
	readonly #reportAt: Millis[];
	readonly #reports = new Map<number, KeyTraffic>();
	/** The index of each key's owner; -1 while it has none. */
	readonly #owners = new Int16Array(maxKey + 1);
	readonly #counts = {inTime: 0, late: 0, refused: 0, moved: 0, writes: 0};
	#table: RangeTable = {service: 's', nextFence: 1, ranges: []};
	#pending: ReadonlyArray<{readonly move: KeyMove; readonly doneAt: Millis}> =
		[];

	#requests: Request[] = [];
	#traffic: KeyTraffic = {rates: new Map(), runMs: new Map()};

	constructor(
		private readonly scene: Scene,
		private readonly keeper: Keeper,
		seed: number,
	) {
		this.#random = new SeededRandom(seed);
		this.#servers = scene.speeds.map(
			(speed, index) =>
				new PlayedServer(
					listedServer(`s${index}`),
					speed,
					index === 0 ? (scene.lostAt ?? Infinity) : Infinity,
				),
		);
		this.#recorders = Array.from(
			{length: daemons},
			() => new KeyRecorder(this.#random),
		);
		this.#reportAt = this.#recorders.map(
			() => this.#random.fraction() * keeper.reportMs,
		);
		const listed = this.#servers.map((server) => server.listed);
		this.#write(planKeyMoves(this.#table, listed));
	}

	run(): Outcome {
		for (let now = 0; now < this.scene.forMs; now += stepMs) {
			this.#arrive(now);
			this.#serve(now);
			this.#report(now);
			if (now % 100 === 0) {
				this.#plan(now);
			}

			this.#writeFreed(now);
		}

		const {inTime, late, refused, moved, writes} = this.#counts;
		const total = inTime + late + refused;
		return {
			inTime: inTime / total,
			late: late / total,
			refused: refused / total,
			moved: moved / (maxKey + 1),
			writes,
			ranges: this.#table.ranges.length,
		};
	}

	#arrive(now: Millis): void {
		const hot = this.scene.hot.find(({at, until}) => at <= now && now < until);
		const fraction = () => this.#random.fraction();
		let expected = (this.scene.requestsPerS * stepMs) / 1000;
		for (; fraction() < expected; expected--) {
			const isHot = hot !== undefined && fraction() < hot.share;
			const {from, len} = isHot ? hot : {from: 0, len: maxKey + 1};
			const key = from + Math.floor(fraction() * len);
			const work = workMs * (0.5 + fraction());
			this.#requests.push({key, at: now, sentAt: now, work, isRetry: false});
			this.#recorders[Math.floor(fraction() * daemons)].record(key, now);
		}
	}

	#serve(now: Millis): void {
		const requests = this.#requests;
		this.#requests = [];
		for (const request of requests) {
			const {key, at, sentAt, isRetry} = request;
			const owner = this.#owners[key];
			const waitsForOwner =
				owner === -1 && now - sentAt < timeoutMs * ownerWaitShare;
			if (sentAt > now || waitsForOwner) {
				this.#requests.push(request);
				continue;
			}

			const endsAt = this.#servers.at(owner)!.take(request, now);
			if (owner !== -1 && endsAt !== undefined) {
				this.#counts[endsAt - at <= targetMs ? 'inTime' : 'late']++;
			} else if (isRetry) {
				this.#counts.refused++;
			} else {
				const retryAt = now + callerRetryMs;
				this.#requests.push({...request, sentAt: retryAt, isRetry: true});
			}
		}
	}

	#report(now: Millis): void {
		const {reportMs, readMs, isDue} = this.keeper;
		const runMs = new Map(
			this.#servers.map(({listed, speed}) => [
				listed.backendServer,
				workMs / speed,
			]),
		);
		for (const [daemon, recorder] of this.#recorders.entries()) {
			if (now >= this.#reportAt[daemon]) {
				this.#reportAt[daemon] = now + this.#random.jitter(reportMs);
				const rates = recorder.rates(now);
				if (isDue(daemon, rates, now)) {
					this.#reports.set(daemon, {rates, runMs});
				}
			}
		}

		if (now % readMs === 0) {
			this.#traffic = totalTraffic([...this.#reports.values()]);
		}
	}

	#plan(now: Millis): void {
		const servers = this.#servers
			.filter((server) => server.isListed(now))
			.map(({listed}) => listed);
		const pending = this.#pending.map(({move}) => move);
		const state = {servers, traffic: this.#traffic, now};
		for (const move of this.keeper.plan(this.#table, pending, state)) {
			const holder = this.#servers.find(
				({listed}) => listed.backendServer === move.holder!.owner,
			)!;
			const doneAt = holder.releaseAt(move, now) + writeMs;
			this.#owners.fill(-1, move.from, move.to + 1);
			this.#pending = [...this.#pending, {move, doneAt}];
		}
	}

	/** Moves whose keys are free are written together, every 250 ms, or at once when none is left. */
	#writeFreed(now: Millis): void {
		const freed = this.#pending.filter(({doneAt}) => doneAt <= now);
		const isComplete = freed.length === this.#pending.length;
		if (freed.length > 0 && (isComplete || now % 250 === 0)) {
			this.#write(freed.map(({move}) => move));
			this.#pending = this.#pending.filter(({doneAt}) => doneAt > now);
			this.#counts.writes++;
		}
	}

	#write(moves: readonly KeyMove[]): void {
		const isFirst = this.#table.ranges.length === 0;
		const pending = this.#pending.map(({move}) => move);
		const apart = isFirst ? moves : pending;
		this.#table = joinRanges(applyMoves(this.#table, moves), apart, 64);
		for (const {from, to, target} of moves) {
			const owner = this.#servers.findIndex(({listed}) => listed === target);
			this.#owners.fill(owner, from, to + 1);
			this.#counts.moved += isFirst ? 0 : to - from + 1;
		}
	}
}
