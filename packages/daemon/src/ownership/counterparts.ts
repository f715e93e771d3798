/**
 * Heartbeats between a guardian and its successors: one call for each pair of
 * daemons, however many servers they share. The answer lists the servers that
 * the successor is ready to take over.
 */
import {type Clock, type Millis} from '@kingcuproute/core';
import {guardBeat, type Mesh} from '@kingcuproute/mesh';
import {chargeOf, type Charge} from './guard-messages.js';

export type CounterpartsParts = {
	readonly self: string;
	readonly mesh: Mesh;
	readonly clock: Clock;
	readonly silenceMs: Millis;
	readonly addressOf: (daemon: string) => string | undefined;
	/** The servers that this daemon guards, grouped by successor. */
	readonly charges: () => ReadonlyMap<string, readonly Charge[]>;
	/** Whether this daemon, as successor, grants the guardian `from` a loan for the server. */
	readonly grantsLoan: (from: string, charge: Charge) => boolean;
	/** Called for each server that a successor is ready for; `askedAt` is when it was asked. */
	readonly ready: (charge: Charge, askedAt: Millis) => void;
};

export class Counterparts {
	/** When each daemon last sent or answered a heartbeat. */
	readonly heardAt = new Map<string, Millis>();
	readonly #inFlight = new Set<string>();

	constructor(private readonly parts: CounterpartsParts) {
		parts.mesh.serve(guardBeat, ({from, charges}) => {
			const guardian = from ?? '';
			this.heardAt.set(guardian, parts.clock.now());
			const ready = (charges ?? [])
				.map((charge) => chargeOf(charge))
				.filter((charge) => parts.grantsLoan(guardian, charge));
			return {from: parts.self, ready};
		});
	}

	/** Sends a heartbeat to every successor that has none in flight. */
	beat(): void {
		for (const [daemon, charges] of this.parts.charges()) {
			const address = this.parts.addressOf(daemon);
			if (address !== undefined && !this.#inFlight.has(daemon)) {
				void this.#beat(daemon, address, charges);
			}
		}
	}

	/** Forgets daemons not heard from for 10 times `silenceMs`. */
	forget(): void {
		const oldest = this.parts.clock.now() - this.parts.silenceMs * 10;
		for (const [daemon, heardAt] of this.heardAt) {
			if (heardAt < oldest) {
				this.heardAt.delete(daemon);
			}
		}
	}

	async #beat(
		daemon: string,
		address: string,
		charges: readonly Charge[],
	): Promise<void> {
		const {mesh, self, clock, silenceMs} = this.parts;
		const askedAt = clock.now();
		this.#inFlight.add(daemon);
		const request = {from: self, charges: [...charges]};
		const answer = await mesh.call(address, guardBeat, request, silenceMs / 2);
		this.#inFlight.delete(daemon);
		answer.ifRight(({from, ready}) => {
			if (from === daemon) {
				this.heardAt.set(daemon, clock.now());
				for (const charge of ready ?? []) {
					this.parts.ready(chargeOf(charge), askedAt);
				}
			}
		});
	}
}
