/**
 * Simulates daemons, backend servers and a store in one process and on one timeline,
 * with messages that are late, lost or duplicated. Checks after every step that no two
 * servers own a slice, and that the owner of a slice at an epoch never changes.
 */
import {SeededRandom, tableInForce, type SliceTable} from '../../src/index.js';
import {KeyOwners} from './key-owners.js';
import {type Conditions, type Fault} from './model-conditions.js';
import {ModelDaemon, service} from './model-daemon.js';
import {ModelExchange} from './model-exchange.js';
import {ModelNetwork} from './model-network.js';
import {firstTable, withPlannedChange} from './model-planner.js';
import {protocol, type Protocol} from './model-protocol.js';
import {ModelServer} from './model-server.js';
import {ModelStore} from './model-store.js';
import {SliceOwners} from './slice-owners.js';

const stepMs = 25;
const beatMs = 150;
const servers = ['a', 'b', 'c'];

export class ModelWorld {
	readonly violations: string[] = [];
	readonly servers: readonly ModelServer[];
	readonly daemons: ModelDaemon[];
	readonly #random: SeededRandom;
	readonly #network: ModelNetwork;
	readonly #store: ModelStore;
	readonly #exchange: ModelExchange;
	#runs = 0;
	readonly #owners = new SliceOwners();
	readonly #keys = new KeyOwners();

	constructor(
		conditions: Conditions,
		private readonly rules: Protocol = protocol,
	) {
		this.#random = new SeededRandom(conditions.seed);
		this.#network = new ModelNetwork(conditions, this.#random);
		const {checksFence} = conditions;
		const {refusesLate} = rules;
		this.servers = servers.map(
			(name) =>
				new ModelServer(name, {checksFence, refusesLate}, this.#newClock()),
		);
		this.daemons = [0, 1, 2, 3].map((vm) => this.#newDaemon(vm));
		const network = this.#network;
		const daemons = () => this.daemons;
		this.#store = new ModelStore(
			{
				network,
				conditions,
				servers,
				watchers: daemons,
				written: (table) => this.violations.push(...this.#keys.record(table)),
			},
			firstTable(servers, this.#ids),
		);
		const store = this.#store;
		const parts = {network, store, rules, servers, daemons};
		this.#exchange = new ModelExchange(parts);
	}

	/** Injects a fault; `wait` only lets time pass. */
	apply(fault: Fault): void {
		switch (fault.kind) {
			case 'pause': {
				this.daemons[fault.daemon].pausedUntil = this.at + fault.ms;
				break;
			}

			case 'kill': {
				this.#kill(fault.daemon);
				break;
			}

			case 'kill-server': {
				this.servers[fault.server].up = false;
				break;
			}

			case 'restart-server': {
				this.servers[fault.server].restart();
				break;
			}

			case 'cut': {
				this.#network.cut(fault.from, fault.to, fault.ms);
				break;
			}

			case 'outage': {
				this.#store.outageUntil = this.at + fault.ms;
				break;
			}

			case 'lose-answers': {
				this.#store.loseAnswersUntil = this.at + fault.ms;
				break;
			}

			case 'wait': {
				this.run(fault.ms);
				break;
			}

			case 'move':
			case 'handover':
			case 'heat':
			case 'drop':
			case 'cool': {
				const table = withPlannedChange(this.table, fault, servers, this.#ids);
				this.#store.plan(table);
				break;
			}
		}
	}

	/** Ends every fault except the loss of servers; restarts one if all are down. */
	heal(): void {
		this.#network.heal();
		this.#store.heal();
		for (const daemon of this.daemons) {
			daemon.pausedUntil = -1;
		}

		if (this.servers.every(({up}) => !up)) {
			this.servers[0].restart();
		}
	}

	run(ms: number): void {
		const end = this.at + ms;
		while (this.at < end) {
			this.#network.advance(stepMs);
			this.#tick();
			this.#check();
		}
	}

	get at(): number {
		return this.#network.at;
	}

	get table(): SliceTable {
		return this.#store.table;
	}

	/** Owners and epochs in the store's table, by slice. */
	get assignments(): ReadonlyArray<readonly [string, number]> {
		return this.table.rows.map(({owner, epoch}) => [owner, epoch]);
	}

	/** The term of a server's guard in the store's table. */
	term(server: string): number {
		return this.table.guards[server].term;
	}

	/** Slices that no server owns although their owner in the table has a live guardian or successor. */
	unowned(): readonly number[] {
		const alive = new Set(this.#ids);
		return this.table.rows.flatMap(({owner}, slice) => {
			if (owner === '') {
				return [];
			}

			const guard = this.table.guards[owner];
			const isGuarded = alive.has(guard.guardian) || alive.has(guard.successor);
			const isOwned = this.servers.some((server) =>
				server.owned(this.at).has(slice),
			);
			return isGuarded && !isOwned ? [slice] : [];
		});
	}

	get #ids(): readonly string[] {
		return this.daemons.map(({id}) => id);
	}

	#newClock(): (at: number) => number {
		const rate = 1 + (this.#random.fraction() - 0.5) / 1000;
		const origin = this.#random.below(100_000);
		return (at) => origin + at * rate;
	}

	#newDaemon(vm: number): ModelDaemon {
		const id = `d${vm}.${++this.#runs}`;
		return new ModelDaemon(id, servers, this.rules, this.#newClock());
	}

	#kill(vm: number): void {
		const old = this.daemons[vm];
		old.pausedUntil = Infinity;
		const next = this.#newDaemon(vm);
		this.daemons[vm] = next;
		next.receive(this.#store.held(), this.at);
		for (const daemon of this.daemons) {
			this.#network.after(100 + this.#random.below(2000), () =>
				daemon.goneAt.set(old.id, daemon.clock(this.at)),
			);
		}
	}

	#tick(): void {
		for (const daemon of this.daemons) {
			if (daemon.pausedUntil <= this.at) {
				daemon.storeUp = this.#store.isUp;
				if (this.at % beatMs < stepMs) {
					this.#exchange.beat(daemon);
				}

				this.#refresh(daemon);
				this.#decide(daemon);
			}
		}
	}

	/** Reads the table from the store now and then, in case a message about it was lost. */
	#refresh(daemon: ModelDaemon): void {
		if (this.#store.isUp && this.#random.below(40) === 0) {
			this.#store.read(daemon);
		}
	}

	#decide(daemon: ModelDaemon): void {
		for (const server of this.servers) {
			for (const action of daemon.decide(server.name, this.#ids, this.at)) {
				this.#exchange.act(daemon, server, action);
			}
		}
	}

	#check(): void {
		for (const daemon of this.daemons) {
			this.violations.push(
				...this.#keys.record(tableInForce(daemon.view, service)),
			);
		}

		for (const [key, names] of this.#keys.doubled(this.servers, this.at)) {
			this.violations.push(`${this.at}: key ${key} runs at ${names}`);
		}

		this.violations.push(
			...this.#owners.violations(this.servers, this.table, this.at),
		);
	}
}
