/** The messages of simulated daemons to each other and to servers, and the handling of the answers. */
import {type GuardianAction, type VersionedObject} from '../../src/index.js';
import {service, type ModelDaemon} from './model-daemon.js';
import {type ModelNetwork} from './model-network.js';
import {type Protocol} from './model-protocol.js';
import {type ModelServer} from './model-server.js';
import {type ModelStore} from './model-store.js';

export type ModelExchangeParts = {
	readonly network: ModelNetwork;
	readonly store: ModelStore;
	readonly rules: Protocol;
	readonly servers: readonly string[];
	readonly daemons: () => readonly ModelDaemon[];
};

export class ModelExchange {
	constructor(private readonly parts: ModelExchangeParts) {}

	/** Sends a heartbeat to the other daemons, which asks them for loans too. */
	beat(from: ModelDaemon): void {
		const {network, daemons} = this.parts;
		for (const to of daemons().filter(({id}) => id !== from.id)) {
			const askedAt = from.clock(network.at);
			network.toDaemon(from.id, to, () => {
				to.heardAt.set(from.id, to.clock(network.at));
				this.#lend(from, to, askedAt);
			});
		}
	}

	/** Carries out an action that a daemon has decided on for a server. */
	act(daemon: ModelDaemon, server: ModelServer, action: GuardianAction): void {
		switch (action.kind) {
			case 'read':
			case 'order': {
				this.#call(daemon, server, action);
				break;
			}

			case 'ask-release': {
				this.#askRelease(daemon, server.name, action);
				break;
			}

			case 'edit': {
				const version = daemon.view.versionOf('table', service);
				this.parts.store.write(daemon, action.edit, version);
				break;
			}

			case 'publish': {
				this.#publish(daemon, action);
				break;
			}

			case 'rank-takeover': {
				break;
			}
		}
	}

	#lend(from: ModelDaemon, to: ModelDaemon, askedAt: number): void {
		const {network, rules, servers} = this.parts;
		for (const server of servers) {
			const term = from.states.get(server)!.standing.guard?.term ?? 0;
			const lent = rules.lend(
				to.states.get(server)!,
				{from: from.id, term},
				to.clock(network.at),
			);
			if (lent) {
				to.states.set(server, lent);
				network.toDaemon(to.id, from, () => {
					from.handle(server, {kind: 'loan', term, askedAt});
				});
			}
		}
	}

	#call(
		daemon: ModelDaemon,
		server: ModelServer,
		action: Extract<GuardianAction, {kind: 'read' | 'order'}>,
	): void {
		const {network} = this.parts;
		const order = action.kind === 'order' ? action.order : undefined;
		const sentAt = daemon.clock(network.at);
		network.send(daemon.id, server.name, () => {
			if (!server.up) {
				return;
			}

			const taken = order ? server.accept(order, network.at) : false;
			const state = server.state(network.at);
			network.toDaemon(server.name, daemon, () => {
				const now = daemon.clock(network.at);
				const answer = {order, taken, sentAt, now, state};
				daemon.handle(server.name, {kind: 'answer', ...answer});
			});
		});
	}

	#askRelease(
		asker: ModelDaemon,
		server: string,
		{of, term, plan}: Extract<GuardianAction, {kind: 'ask-release'}>,
	): void {
		const {network, rules, daemons} = this.parts;
		const peer = daemons().find(({id}) => id === of);
		if (!peer) {
			return;
		}

		network.toDaemon(asker.id, peer, () => {
			const request = {from: asker.id, term, plan};
			const now = peer.clock(network.at);
			const state = peer.states.get(server)!;
			const outcome = rules.answerRelease(state, request, now);
			peer.states.set(server, outcome.state);
			const {answer} = outcome;
			if (answer.kind === 'released') {
				const tables = peer.view.allObjects();
				network.toDaemon(of, asker, () => {
					asker.receive(tables, network.at);
					const leaseOverAt =
						asker.clock(network.at) + answer.leaseLeftMs * 1.001;
					const {tableVersion} = answer;
					const consent = {term, leaseOverAt, tableVersion};
					asker.handle(server, {kind: 'consent', from: of, consent});
				});
			}
		});
	}

	#publish(
		daemon: ModelDaemon,
		{succession}: Extract<GuardianAction, {kind: 'publish'}>,
	): void {
		const {network, daemons} = this.parts;
		const {server, term} = succession;
		const object: VersionedObject = {
			kind: 'succession',
			name: server,
			version: term,
			value: succession,
		};
		daemon.receive([object], network.at);
		for (const peer of daemons()) {
			network.toDaemon(daemon.id, peer, () => {
				peer.receive([object], network.at);
			});
		}
	}
}
