/**
 * The states of the servers that this daemon guards, is successor for, or has made
 * a promise about. Runs the core's state machine for each of them; the caller, which
 * owns the sockets, carries out the actions it returns.
 */
import {
	applyEvent,
	answerReleaseRequest,
	decide,
	initialGuardian,
	lend,
	standingOf,
	statusOf,
	type GuardianAction,
	type GuardianEvent,
	type GuardianState,
	type GuardianStatus,
	type LoanRequest,
	type Millis,
	type Peers,
	type ReleaseAnswer,
	type ReleaseRequest,
	type Timing,
	type View,
} from '@kingcuproute/core';
import {type Charge} from './guard-messages.js';

export class GuardedServers {
	readonly #states = new Map<string, GuardianState>();

	constructor(
		private readonly self: string,
		private readonly timing: Timing,
	) {}

	get all(): readonly GuardianState[] {
		return [...this.#states.values()];
	}

	get(server: string): GuardianState | undefined {
		return this.#states.get(server);
	}

	/** Applies a view: adds the servers that this daemon is to guard or succeed for, and updates the known ones. */
	applyView(view: View, now: Millis): void {
		for (const {service, guards} of view.all('table')) {
			for (const [server, {guardian, successor}] of Object.entries(guards)) {
				if (guardian === this.self || successor === this.self) {
					this.#stateOf(service, server);
				}
			}
		}

		for (const {service, server} of this.all) {
			const standing = standingOf(view, service, server);
			this.applyEvent(server, {kind: 'standing', standing, now});
		}
	}

	applyEvent(server: string, event: GuardianEvent): void {
		const state = this.#states.get(server);
		if (state) {
			this.#states.set(server, applyEvent(state, event));
		}
	}

	/** The servers that this daemon guards, grouped by successor. */
	charges(): ReadonlyMap<string, readonly Charge[]> {
		const charges = new Map<string, Charge[]>();
		for (const {service, server, standing} of this.all) {
			const {guard} = standing;
			if (guard?.guardian === this.self && guard.successor !== '') {
				const {term, successor} = guard;
				const shared = charges.get(successor) ?? [];
				charges.set(successor, [...shared, {service, server, term}]);
			}
		}

		return charges;
	}

	/** The actions to take for one server now. */
	decide(
		server: string,
		{peers, storeUp}: {readonly peers: Peers; readonly storeUp: boolean},
		now: Millis,
	): readonly GuardianAction[] {
		this.applyEvent(server, {kind: 'peers', peers});
		this.applyEvent(server, {kind: 'store', up: storeUp});
		const state = this.#states.get(server);
		if (!state) {
			return [];
		}

		const step = decide(state, now);
		this.#states.set(server, step.state);
		return step.actions;
	}

	/** Grants the guardian a loan if this daemon is ready as successor; returns whether it did. */
	grantLoan(server: string, request: LoanRequest, now: Millis): boolean {
		const state = this.#states.get(server);
		const lent = state && lend(state, request, now);
		if (lent) {
			this.#states.set(server, lent);
		}

		return lent !== undefined;
	}

	/** Decides the answer to another daemon's release request. */
	release(
		service: string,
		server: string,
		request: ReleaseRequest,
		now: Millis,
	): ReleaseAnswer {
		const step = answerReleaseRequest(
			this.#stateOf(service, server),
			request,
			now,
		);
		this.#states.set(server, step.state);
		return step.answer;
	}

	status(now: Millis): readonly GuardianStatus[] {
		return this.all.flatMap((state) => statusOf(state, now) ?? []);
	}

	#stateOf(service: string, server: string): GuardianState {
		const known = this.#states.get(server);
		if (known) {
			return known;
		}

		const {self, timing} = this;
		const state = initialGuardian({self, service, server, timing});
		this.#states.set(server, state);
		return state;
	}
}
