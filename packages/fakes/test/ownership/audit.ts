/**
 * Checks exclusive ownership from outside while a scene goes through faults: polls
 * the grants of all servers and sends bookings by key throughout. If one server owns
 * a slice before and after another one owned it, with the same epoch both times, the
 * slice had two owners at once. A hot key can get a row of its own, so watched keys
 * are followed through the rows of every table seen.
 */
import {rowIndexOf, type ServerState} from '@kingcuproute/core';
import {request} from 'undici';
import {type Run, type RunningServer} from '../../src/index.js';
import {keyOf, sleep, type Scene} from './scene.js';

const pollMs = 15;
const bookingIntervalMs = 30;
const bookedSlices = 6;

type Poll = {
	readonly server: string;
	readonly askedAt: number;
	readonly answeredAt: number;
	/** Epochs of the slices that the server owned then, by slice. */
	readonly owned: ReadonlyMap<number, number>;
};

export class Audit {
	booked = 0;
	readonly #polls: Poll[] = [];
	/** The rows that covered each watched key, with their epochs: `12@1` is row 12 at epoch 1. */
	readonly #rowsByKey: ReadonlyMap<string, Set<string>>;
	#isStopped = false;
	readonly #loops: ReadonlyArray<Promise<void>>;

	constructor(
		private readonly scene: Scene,
		keys: readonly string[] = [],
	) {
		this.#rowsByKey = new Map(keys.map((key) => [key, new Set<string>()]));
		this.#loops = [
			this.#pollTables(),
			...[...scene.servers.values()].map(async (server) =>
				this.#pollServer(server),
			),
			...scene.daemons.map(async (_, index) => this.#book(index)),
		];
	}

	/** Stops the audit; returns a text for each slice or key with two owners at once and for each booking that ran more than once. */
	async finish(): Promise<readonly string[]> {
		this.#isStopped = true;
		await Promise.all(this.#loops);
		return [
			...this.#sharedSlices(),
			...[...this.#rowsByKey.keys()].flatMap((key) =>
				this.#sharedOwnersOf(key),
			),
			...(await this.#duplicateBookings()),
		];
	}

	async #pollServer(server: RunningServer): Promise<void> {
		while (!this.#isStopped) {
			const askedAt = performance.now();
			const state = await this.scene.grants(server);
			if (state) {
				const answeredAt = performance.now();
				const owned = ownedBy(state);
				this.#polls.push({server: server.name, askedAt, answeredAt, owned});
			}

			await sleep(pollMs);
		}
	}

	async #pollTables(): Promise<void> {
		while (!this.#isStopped && this.#rowsByKey.size > 0) {
			const table = await this.scene.table();
			for (const [key, rows] of table ? this.#rowsByKey : []) {
				const row = rowIndexOf(table!, key);
				rows.add(`${row}@${table!.rows[row].epoch}`);
			}

			await sleep(pollMs);
		}
	}

	async #book(daemonIndex: number): Promise<void> {
		for (let count = 0; !this.#isStopped; count++) {
			const {entry} = this.scene.daemons[daemonIndex];
			const slice = (daemonIndex + count) % bookedSlices;
			try {
				const res = await request(
					`http://${entry}/ticket-desk/deposit/${daemonIndex}-${count}`,
					{
						method: 'POST',
						headers: {'x-customer': 'tiktak-haus', 'x-key': keyOf(slice)},
						body: 'ten',
						signal: AbortSignal.timeout(1000),
					},
				);
				await res.body.dump();
				this.booked += res.statusCode === 200 ? 1 : 0;
			} catch {}

			await sleep(bookingIntervalMs);
		}
	}

	#sharedSlices(): readonly string[] {
		const findings = [...this.scene.servers.keys()].flatMap((server) => {
			const polls = this.#polls.filter((poll) => poll.server === server);
			return polls
				.slice(0, -1)
				.flatMap((before, index) =>
					this.#sharedSlicesBetween(before, polls[index + 1]),
				);
		});
		return [...new Set(findings)];
	}

	/** Slices that one server owned at two successive polls, at the same epoch, and another server in between. */
	#sharedSlicesBetween(before: Poll, later: Poll): readonly string[] {
		const kept = new Set(
			[...before.owned]
				.filter(([slice, epoch]) => later.owned.get(slice) === epoch)
				.map(([slice]) => slice),
		);
		return this.#pollsBetween(before, later).flatMap(({server, owned}) =>
			[...owned.keys()]
				.filter((slice) => kept.has(slice))
				.map(
					(slice) =>
						`slice ${slice}: owned by ${before.server} and ${server} at once`,
				),
		);
	}

	/** Pairs of servers of which one owned the key at two successive polls, by the same row and epoch, and the other in between, by any row. */
	#sharedOwnersOf(key: string): readonly string[] {
		const rows = this.#rowsByKey.get(key)!;
		const owned = (poll: Poll) =>
			[...poll.owned]
				.map(([slice, epoch]) => `${slice}@${epoch}`)
				.filter((row) => rows.has(row));
		const findings = [...this.scene.servers.keys()].flatMap((server) => {
			const polls = this.#polls.filter((poll) => poll.server === server);
			return polls.slice(0, -1).flatMap((before, index) => {
				const later = polls[index + 1];
				const kept = owned(before).some((row) => owned(later).includes(row));
				return (kept ? this.#pollsBetween(before, later) : [])
					.filter((other) => owned(other).length > 0)
					.map(
						(other) =>
							`key ${key}: owned by ${server} and ${other.server} at once`,
					);
			});
		});
		return [...new Set(findings)];
	}

	/** Polls of other servers that began and ended between the two. */
	#pollsBetween(before: Poll, later: Poll): readonly Poll[] {
		return this.#polls.filter(
			(poll) =>
				poll.server !== before.server &&
				poll.askedAt > before.answeredAt &&
				poll.answeredAt < later.askedAt,
		);
	}

	async #duplicateBookings(): Promise<readonly string[]> {
		const ran = new Map<string, number>();
		for (const {address} of this.scene.servers.values()) {
			for (const {method, path} of await journal(address)) {
				if (method === 'POST') {
					ran.set(path, (ran.get(path) ?? 0) + 1);
				}
			}
		}

		return [...ran].flatMap(([path, times]) =>
			times > 1 ? [`${path} ran ${times} times`] : [],
		);
	}
}

function ownedBy({now, leaseEnd, held}: ServerState) {
	return new Map(
		now < leaseEnd ? held.map(({slice, epoch}) => [slice, epoch]) : [],
	);
}

async function journal(address: string): Promise<readonly Run[]> {
	try {
		const res = await request(`http://${address}/journal`, {
			signal: AbortSignal.timeout(1000),
		});
		return (await res.body.json()) as readonly Run[];
	} catch {
		return [];
	}
}
