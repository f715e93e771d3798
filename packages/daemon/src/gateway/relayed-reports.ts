/**
 * Reports what this daemon observes to the fleet, each second, and knows what the others
 * report. A daemon sends to the watcher that it reads from; watchers send what they
 * received to each other, and the traffic of a service's keys to its keeper. The keeper of
 * a service that is not reached is named, and daemons then write to the store.
 */
import {
	ReportBoard,
	reportLifeMs,
	type Clock,
	type DaemonReport,
	type FleetDemand,
	type KeyTraffic,
	type Millis,
	type Random,
	type ServiceRates,
	type ServiceRunTimes,
} from '@kingcuproute/core';
import {type ReportAnswerMessage, type ReportMessage} from '@kingcuproute/mesh';
import {type Deployment} from '@kingcuproute/platform';
import {type Either} from 'purify-ts';
import {inject, singleton} from 'tsyringe';
import {Log} from '../log/log.js';
import {FleetReports} from './fleet-reports.js';
import {
	demandMessage,
	readDemand,
	readReport,
	readRunTimes,
	reportMessage,
	runTimesMessages,
} from './report-messages.js';

/** Between two reports; jittered, because all daemons report. */
const reportMs: Millis = 1000;
/** A report that has not been delivered for this long is written to the store. */
const deliveredMs: Millis = 2500;
/** The means of run times are computed this often: every choice of a server reads them. */
const runTimesMs: Millis = 500;

const noRunTimes: ReadonlyMap<string, Millis> = new Map();

/** The way to other daemons. */
export type ReportChannel = {
	readonly send: (
		address: string,
		message: ReportMessage,
	) => Promise<Either<unknown, ReportAnswerMessage>>;
	/** The address of the watcher that this daemon reads from; undefined if there is none. */
	readonly peer: () => string | undefined;
	/** The addresses of the other watchers if this daemon is one. */
	readonly watchers: () => readonly string[] | undefined;
};

/** What this daemon observes. */
export type ObservedTraffic = {
	readonly rates: () => ServiceRates;
	readonly runTimes: () => ServiceRunTimes;
};

/** Who keeps the services divided by key. */
export type KnownKeepers = {
	readonly services: () => readonly string[];
	readonly isKept: (service: string) => boolean;
	/** The address of a service's keeper, as far as is known. */
	readonly addressOf: (service: string) => string | undefined;
};

type RunTimes = ReadonlyMap<string, ReadonlyMap<string, Millis>>;

type DemandSource = () => ReadonlyMap<string, number>;

type Summary = {
	readonly runTimes: ServiceRunTimes;
	readonly demand: FleetDemand | undefined;
	readonly at: Millis;
};

@singleton()
export class RelayedReports extends FleetReports {
	readonly #board = new ReportBoard();
	readonly #run: number;
	#seq = 0;
	#channel: ReportChannel | undefined;
	#observed: ObservedTraffic | undefined;
	#keepers: KnownKeepers | undefined;
	#demandSource: DemandSource | undefined;
	/** What the peer last answered. */
	#summary: Summary | undefined;
	/** When the keeper of a service last received this daemon's traffic. */
	readonly #deliveredAt = new Map<string, Millis>();
	/** By service and server, as of `#runTimesAt`. */
	#runTimes: RunTimes = new Map();
	#runTimesAt: Millis = -Infinity;
	#stopped = false;

	constructor(
		@inject('Deployment') private readonly deployment: Pick<Deployment, 'vm'>,
		@inject('Clock') private readonly clock: Clock,
		@inject('Random') private readonly random: Random,
		@inject(Log) private readonly log: Log,
	) {
		super();
		this.#run = Math.round(clock.wall());
	}

	override get demand(): FleetDemand | undefined {
		return this.#isWatcher
			? this.#board.demand(this.clock.now())
			: this.#recentSummary?.demand;
	}

	override runTimes(service: string): ReadonlyMap<string, Millis> {
		const now = this.clock.now();
		if (now - this.#runTimesAt >= runTimesMs) {
			this.#runTimesAt = now;
			this.#runTimes = this.#meanRunTimes(now);
		}

		return this.#runTimes.get(service) ?? noRunTimes;
	}

	/** The run times at a service's servers, and how many answers each rests on. */
	keyRunTimes(service: string): Pick<KeyTraffic, 'runMs' | 'readings'> {
		const means = [...(this.#means(this.clock.now())?.get(service) ?? [])];
		return {
			runMs: new Map(means.map(([server, {runMs}]) => [server, runMs])),
			readings: new Map(
				means.map(([server, {readings}]) => [server, readings]),
			),
		};
	}

	override setDemand(source: DemandSource): void {
		this.#demandSource = source;
	}

	setObserved(observed: ObservedTraffic): void {
		this.#observed = observed;
	}

	setKeepers(keepers: KnownKeepers): void {
		this.#keepers = keepers;
	}

	/** The VMs of the daemons that report. */
	get reporters(): ReadonlySet<string> {
		const reports = this.#board.reports(this.clock.now());
		return new Set(reports.map(({vm}) => vm));
	}

	/** The traffic that daemons reported for a service, by VM. */
	trafficOf(service: string): ReadonlyMap<string, ReadonlyMap<number, number>> {
		return new Map(
			this.#board.reports(this.clock.now()).flatMap(({vm, traffic}) => {
				const rates = traffic.get(service);
				return rates ? [[vm, rates] as const] : [];
			}),
		);
	}

	/** Whether the keeper of a service receives this daemon's traffic without the store. */
	isDelivered(service: string): boolean {
		const at = this.#deliveredAt.get(service) ?? -Infinity;
		return this.clock.now() - at < deliveredMs;
	}

	/** Starts to report on this channel. */
	start(channel: ReportChannel): void {
		this.#channel = channel;
		void this.#repeat();
	}

	stop(): void {
		this.#stopped = true;
	}

	/** Takes the reports of another daemon. */
	receive(message: ReportMessage): ReportAnswerMessage {
		const now = this.clock.now();
		const reports = (message.reports ?? []).map((report) =>
			readReport(report, now),
		);
		const runTimes = readRunTimes(message.runTimes ?? []);
		const from = message.from ?? '';
		for (const report of reports) {
			this.#board.add(report, message.forward === true);
		}

		const isFromWatcher = message.forward !== true;
		this.#board.setRunTimes(sourceOf(from, isFromWatcher), runTimes, now);
		const services = this.#keepers?.services() ?? [];
		const kept = services.filter((service) => this.#keepers?.isKept(service));
		if (isFromWatcher) {
			return {kept};
		}

		if (!this.#isWatcher) {
			throw new Error('is no watcher');
		}

		return {
			...demandMessage(this.#board.demand(now), now),
			kept,
			undelivered: services.filter((service) => !this.isDelivered(service)),
			runTimes: runTimesMessages(this.#board.runTimes(now)),
		};
	}

	get #isWatcher(): boolean {
		return this.#channel?.watchers() !== undefined;
	}

	get #recentSummary(): Summary | undefined {
		const summary = this.#summary;
		return summary && this.clock.now() - summary.at < reportLifeMs
			? summary
			: undefined;
	}

	#means(now: Millis): ServiceRunTimes | undefined {
		return this.#isWatcher
			? this.#board.runTimes(now)
			: this.#recentSummary?.runTimes;
	}

	#meanRunTimes(now: Millis): RunTimes {
		return new Map(
			[...(this.#means(now) ?? [])].map(([service, servers]) => [
				service,
				new Map([...servers].map(([server, {runMs}]) => [server, runMs])),
			]),
		);
	}

	async #repeat(): Promise<void> {
		while (!this.#stopped) {
			await this.clock.sleep(this.random.jitter(reportMs));
			try {
				await this.#report();
			} catch (error) {
				const {message} = error as Error;
				this.log.warn('report-failed', {message});
			}
		}
	}

	async #report(): Promise<void> {
		const now = this.clock.now();
		this.#seq++;
		const report: DaemonReport = {
			vm: this.deployment.vm,
			run: this.#run,
			seq: this.#seq,
			at: now,
			demand: this.#demandSource?.() ?? new Map<string, number>(),
			traffic: this.#observed?.rates() ?? new Map(),
		};
		const runTimes: ServiceRunTimes = this.#observed?.runTimes() ?? new Map();
		const watchers = this.#channel?.watchers();
		const peer = this.#channel?.peer();
		if (watchers) {
			this.#board.add(report, true);
			this.#board.setRunTimes(sourceOf(report.vm, false), runTimes, now);
			await this.#distribute(watchers, now);
		} else if (peer !== undefined) {
			await this.#sendToPeer(peer, report, runTimes);
		}
	}

	async #sendToPeer(
		peer: string,
		report: DaemonReport,
		runTimes: ServiceRunTimes,
	): Promise<void> {
		const sentAt = this.clock.now();
		const outcome = await this.#channel!.send(peer, {
			from: report.vm,
			reports: [reportMessage(report, sentAt, () => true)],
			runTimes: runTimesMessages(runTimes),
			forward: true,
		});
		outcome.ifRight((answer) => {
			this.#summary = {
				runTimes: readRunTimes(answer.runTimes ?? []),
				demand: readDemand(answer, sentAt),
				at: sentAt,
			};
			const undelivered = new Set(answer.undelivered);
			for (const service of this.#keepers?.services() ?? []) {
				if (!undelivered.has(service)) {
					this.#deliveredAt.set(service, sentAt);
				}
			}
		});
	}

	/** Sends what its daemons reported to the other watchers, and to each keeper its part. */
	async #distribute(watchers: readonly string[], now: Millis): Promise<void> {
		const services = this.#keepers?.services() ?? [];
		const byAddress = new Map<string, Set<string>>(
			watchers.map((address) => [address, new Set<string>()]),
		);
		for (const service of services) {
			const address = this.#keepers?.addressOf(service);
			if (this.#keepers?.isKept(service)) {
				this.#deliveredAt.set(service, now);
			} else if (address !== undefined) {
				const kept = byAddress.get(address) ?? new Set();
				byAddress.set(address, kept.add(service));
			}
		}

		await Promise.all(
			[...byAddress].map(async ([address, kept]) =>
				this.#sendTo(address, kept, now),
			),
		);
	}

	async #sendTo(
		address: string,
		kept: ReadonlySet<string>,
		now: Millis,
	): Promise<void> {
		const runTimes = this.#board.runTimes(now, (source) =>
			source.startsWith(directPrefix),
		);
		const outcome = await this.#channel!.send(address, {
			from: this.deployment.vm,
			reports: this.#board
				.directReports(now)
				.map((report) =>
					reportMessage(report, now, (service) => kept.has(service)),
				),
			runTimes: runTimesMessages(runTimes),
		});
		outcome.ifRight((answer) => {
			for (const service of answer.kept ?? []) {
				if (kept.has(service)) {
					this.#deliveredAt.set(service, now);
				}
			}
		});
	}
}

const directPrefix = 'daemon ';

/** Run times of a daemon are part of what its watcher reports; both are kept apart. */
function sourceOf(vm: string, isFromWatcher: boolean): string {
	return isFromWatcher ? `watcher ${vm}` : `${directPrefix}${vm}`;
}
