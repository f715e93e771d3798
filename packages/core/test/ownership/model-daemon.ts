/** A simulated daemon: a guardian state for each server, a view of the store, and its own clock. */
import {
	applyEvent,
	initialGuardian,
	standingOf,
	View,
	type GuardianAction,
	type GuardianEvent,
	type GuardianState,
	type VersionedObject,
	type Peers,
} from '../../src/index.js';
import {type Protocol} from './model-protocol.js';

export const service = 'ticket-desk';

export class ModelDaemon {
	view = View.empty;
	pausedUntil = -1;
	storeUp = true;
	readonly heardAt = new Map<string, number>();
	readonly goneAt = new Map<string, number>();
	readonly states = new Map<string, GuardianState>();

	constructor(
		readonly id: string,
		servers: readonly string[],
		private readonly rules: Protocol,
		readonly clock: (at: number) => number,
	) {
		const {timing} = rules;
		for (const server of servers) {
			const own = {self: id, service, server, timing};
			this.states.set(server, initialGuardian(own));
		}
	}

	receive(objects: readonly VersionedObject[], at: number): void {
		this.view = this.view.with(objects);
		for (const server of this.states.keys()) {
			const standing = standingOf(this.view, service, server);
			this.handle(server, {kind: 'standing', standing, now: this.clock(at)});
		}
	}

	handle(server: string, event: GuardianEvent): void {
		this.states.set(server, applyEvent(this.states.get(server)!, event));
	}

	decide(
		server: string,
		daemons: readonly string[],
		at: number,
	): readonly GuardianAction[] {
		const servers = [...this.states.keys()].filter((name) => name !== server);
		const peers: Peers = {
			heardAt: this.heardAt,
			goneAt: this.goneAt,
			candidates: daemons.filter(
				(id) => id !== this.id && !this.goneAt.has(id),
			),
			servers,
		};
		this.handle(server, {kind: 'peers', peers});
		this.handle(server, {kind: 'store', up: this.storeUp});
		const step = this.rules.decide(this.states.get(server)!, this.clock(at));
		this.states.set(server, step.state);
		return step.actions;
	}
}
