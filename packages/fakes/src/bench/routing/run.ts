/** One run: a deployment, a way of routing and a scenario, from a fixed seed. */
import {
	SeededRandom,
	type BackendServer,
	type Contract,
	type Millis,
	type Random,
	type Service,
} from '@kingcuproute/core';
import {build, type Histogram} from 'hdr-histogram-js';
import {DaemonModel, type End, type Link} from './daemon-model.js';
import {type DeploymentPlan} from './deployments.js';
import {EventQueue} from './event-queue.js';
import {ServerModel} from './server-model.js';
import {type Variant} from './variant.js';

export const meanMs: Millis = 10;
const coldShare = 1 / 3;
const warmUpMs: Millis = 5000;
const pollMs: Millis = 500;
const reportLagMs: Millis = 500;
const deadlineMs: Millis = 2000;
const evidenceMs: Millis = 20;
const secondMs: Millis = 1000;
const microsPerMs = 1000;
const highestMicros = 60_000_000;

/** One customer's requests: open loop, so that what waits does not slow what comes. */
export type Load = {
	readonly contract: Contract;
	readonly ratePerSecond: number;
};

export type Scenario = {
	readonly name: string;
	readonly lengthMs: Millis;
	readonly loads: (plan: DeploymentPlan, capacity: number) => readonly Load[];
	/** Whether cold servers say that they are. */
	readonly tellsCold?: boolean;
	/** Plans what happens during the run. */
	readonly plan: (run: Run) => void;
};

/** What one customer got. */
export class Tally {
	readonly latencies: Histogram = build({
		highestTrackableValue: highestMicros,
		numberOfSignificantValueDigits: 3,
	});

	readonly ends: Record<End, number> = {
		answered: 0,
		failed: 0,
		shed: 0,
		'over-limit': 0,
		unfinished: 0,
	};

	/** When each request that has not ended yet was meant to be sent. */
	readonly open = new Map<number, Millis>();

	readonly answeredAt: Millis[] = [];
}

export class Run {
	readonly events = new EventQueue();
	readonly random: Random;
	readonly servers: readonly BackendServer[];
	readonly models: ReadonlyMap<string, ServerModel>;
	readonly daemons: readonly DaemonModel[];
	readonly tallies = new Map<string, Tally>();
	/** When the load stops; what is under way may end. */
	readonly end: Millis;
	#id = 0;
	readonly #service: Service;

	constructor(
		readonly deployment: DeploymentPlan,
		readonly variant: Variant,
		readonly scenario: Scenario,
		seed: number,
	) {
		this.random = new SeededRandom(seed);
		this.end = scenario.lengthMs;
		this.#service = serviceOf(deployment);
		this.servers = serversOf(deployment);
		this.models = new Map(
			this.servers.map(({backendServer}) => [
				backendServer,
				new ServerModel(
					{
						slots: deployment.slots,
						meanMs,
						coldShare,
						warmUpMs,
						tellsCold: scenario.tellsCold ?? true,
					},
					this.events,
					new SeededRandom(this.random.below(1e9)),
				),
			]),
		);
		this.daemons = Array.from({length: deployment.daemons}, (_, index) =>
			this.#daemon(index, seed),
		);
	}

	/** Requests a second that all warm servers together can answer. */
	get capacity(): number {
		const {slots} = this.deployment;
		return (this.servers.length * slots * secondMs) / meanMs;
	}

	/** Carries the run out. */
	go(): this {
		this.inService(this.servers, 0);
		for (const load of this.scenario.loads(this.deployment, this.capacity)) {
			this.tallies.set(load.contract.customer, new Tally());
			this.#arrive(load);
			this.#trade(load.contract);
		}

		this.#poll();
		this.#judge();
		this.scenario.plan(this);
		this.events.run(this.end + deadlineMs);
		for (const tally of this.tallies.values()) {
			this.#leftOver(tally);
		}

		return this;
	}

	/** Tells every daemon, each within `spreadMs`, which servers are in service. */
	inService(servers: readonly BackendServer[], spreadMs: Millis): void {
		for (const daemon of this.daemons) {
			this.events.after(this.random.fraction() * spreadMs, () => {
				daemon.setServers(servers);
			});
		}
	}

	#daemon(index: number, seed: number): DaemonModel {
		const {domains, betweenMs, daemons, openMs} = this.deployment;
		const own = domains[index % domains.length];
		const links = new Map(
			this.servers.map(({backendServer, failureDomain}): [string, Link] => [
				backendServer,
				{
					model: this.models.get(backendServer)!,
					oneWayMs: failureDomain === own ? betweenMs / 10 : betweenMs,
				},
			]),
		);
		const options = {
			index,
			daemons,
			service: this.#service,
			variant: this.variant,
			links,
			openMs,
			deadlineMs,
		};
		const random = new SeededRandom(seed * 31 + index);
		return new DaemonModel(options, this.events, random);
	}

	#arrive(load: Load): void {
		const gapMs = secondMs / load.ratePerSecond;
		const next = () => {
			const drawn = -Math.log(1 - this.random.fraction());
			this.events.after(gapMs * drawn, () => {
				if (this.events.now < this.end) {
					this.#request(load.contract);
					next();
				}
			});
		};

		next();
	}

	#request(contract: Contract): void {
		const intendedAt = this.events.now;
		const {clientMs} = this.deployment;
		const daemon = this.random.pick(this.daemons)!;
		const tally = this.tallies.get(contract.customer)!;
		const id = this.#id++;
		tally.open.set(id, intendedAt);
		this.events.after(clientMs, () => {
			daemon.take(contract, (end) => {
				this.events.after(clientMs, () => {
					tally.open.delete(id);
					this.#ended(tally, end, intendedAt);
				});
			});
		});
	}

	/** What has no answer when the run ends counts with the time it has waited. */
	#leftOver(tally: Tally): void {
		for (const intendedAt of tally.open.values()) {
			tally.ends.unfinished++;
			const waited = this.events.now - intendedAt;
			tally.latencies.recordValue(Math.round(waited * microsPerMs));
		}
	}

	#ended(tally: Tally, end: End, intendedAt: Millis): void {
		tally.ends[end]++;
		if (end === 'answered') {
			const latency = this.events.now - intendedAt;
			tally.latencies.recordValue(Math.round(latency * microsPerMs));
			tally.answeredAt.push(this.events.now);
		}
	}

	#trade(contract: Contract): void {
		const [home] = this.daemons;
		const {betweenMs} = this.deployment;
		for (const daemon of this.daemons) {
			this.events.after(this.random.fraction() * 200, () => {
				this.events.repeat(200, () => {
					daemon.askShare(contract, home, betweenMs);
				});
			});
		}
	}

	#judge(): void {
		if (!this.variant.whole) {
			return;
		}

		const {betweenMs} = this.deployment;
		this.events.repeat(evidenceMs, () => {
			for (const daemon of this.daemons) {
				daemon.tellEvidence(this.daemons, betweenMs);
			}
		});
	}

	#poll(): void {
		const {probeMs} = this.deployment;
		for (const daemon of this.daemons) {
			for (const [name, model] of this.models) {
				this.events.after(this.random.fraction() * pollMs, () => {
					let last = model.report();
					this.events.repeat(pollMs, () => {
						const {inFlight} = last;
						last = model.report();
						const lagged = reportLagMs > 0 ? inFlight : last.inFlight;
						this.events.after(probeMs, () => {
							daemon.gauges.recordReport(
								name,
								{...last, inFlight: lagged},
								this.events.now,
							);
						});
					});
				});
			}
		}
	}
}

function serviceOf({loaded, slots, connections}: DeploymentPlan): Service {
	return {
		service: loaded,
		slices: 0,
		slots,
		connections,
		checksFence: true,
		deadlineMs,
		slowStartMs: warmUpMs,
		coldShare,
	};
}

function serversOf({
	loaded,
	services,
	domains,
}: DeploymentPlan): readonly BackendServer[] {
	const {servers} = services.find(({service}) => service === loaded)!;
	return Array.from({length: servers}, (_, index) => ({
		backendServer: `${loaded}-${index}`,
		service: loaded,
		failureDomain: domains[index % domains.length],
		address: `127.0.0.1:${9000 + index}`,
		out: false,
	}));
}
