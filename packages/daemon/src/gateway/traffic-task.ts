/**
 * Records the requests for services divided by key, for the reports to the keepers. While
 * these do not reach a keeper through peers, it reports through an object in the
 * platform's store.
 */
import {
	fold,
	isReportDue,
	KeyRecorder,
	reportIntervalMs,
	type Clock,
	type KeyTraffic,
	type ListedServer,
	type MeanRunTime,
	type Millis,
	type Random,
	type SentReport,
	type ServiceRates,
	type ServiceRunTimes,
} from '@kingcuproute/core';
import {
	keyTrafficKind,
	keyTrafficSpec,
	errorText,
	type Deployment,
	type ObjectStore,
} from '@kingcuproute/platform';
import {inject, singleton} from 'tsyringe';
import {Log} from '../log/log.js';
import {Task} from '../task/task.js';
import {RelayedReports} from './relayed-reports.js';
import {ServerPicks} from './server-picks.js';
import {ViewTask} from './view-task.js';

/** Share of the store's write rate that the reports of all daemons may take. */
const writeShare = 0.1;

/** The run times at this daemon. */
type RunTimes = Required<Pick<KeyTraffic, 'runMs' | 'readings'>>;

@singleton()
export class TrafficTask extends Task {
	readonly #recorders = new Map<string, KeyRecorder>();
	#revision: number | undefined;
	#lastReport: SentReport | undefined;
	#stopped = false;

	constructor(
		@inject(ViewTask) private readonly view: ViewTask,
		@inject(ServerPicks) private readonly picks: ServerPicks,
		@inject(RelayedReports) private readonly reports: RelayedReports,
		@inject('Store') private readonly store: ObjectStore,
		@inject('Deployment') private readonly deployment: Deployment,
		@inject('Clock') private readonly clock: Clock,
		@inject('Random') private readonly random: Random,
		@inject(Log) private readonly log: Log,
	) {
		super();
	}

	/** The recorder of a service's requests. */
	of(service: string): KeyRecorder {
		const recorder =
			this.#recorders.get(service) ?? new KeyRecorder(this.random);
		this.#recorders.set(service, recorder);
		return recorder;
	}

	override async start(): Promise<void> {
		this.reports.setObserved({
			rates: () => this.#rates(this.clock.now()),
			runTimes: () => this.#runTimes(),
		});
		void this.#run();
	}

	override async stop(): Promise<void> {
		this.#stopped = true;
	}

	async #run(): Promise<void> {
		while (!this.#stopped) {
			const {daemons} = this.view.view.value;
			const writeRate = trafficWriteRate(this.deployment);
			await this.clock.sleep(
				this.random.jitter(reportIntervalMs(daemons, writeRate)),
			);
			const now = this.clock.now();
			const rates = this.#rates(now);
			const isDue =
				isReportDue(this.#lastReport, rates, now) && !this.#isDelivered(rates);
			if (rates.size > 0 && isDue && !this.#stopped) {
				await this.#report({rates, at: now});
			}
		}
	}

	#rates(now: Millis): ServiceRates {
		const services = [...this.#recorders].map(
			([service, recorder]) => [service, recorder.rates(now)] as const,
		);
		return new Map(services.filter(([, {size}]) => size > 0));
	}

	#runTimes(): ServiceRunTimes {
		const {inService} = this.view.view.value;
		const services = [...inService].map(
			([service, servers]) => [service, this.#runTimesAt(servers)] as const,
		);
		return new Map(
			services
				.filter(([, {runMs}]) => runMs.size > 0)
				.map(([service, times]) => [service, meansOf(times)]),
		);
	}

	/** Whether the keepers receive this traffic through peers. */
	#isDelivered(rates: ServiceRates): boolean {
		return [...rates.keys()].every((service) =>
			this.reports.isDelivered(service),
		);
	}

	#trafficOf(service: string, rates: KeyTraffic['rates']): KeyTraffic {
		const servers = this.view.view.value.inService.get(service) ?? [];
		return {rates, ...this.#runTimesAt(servers)};
	}

	#runTimesAt(servers: readonly ListedServer[]): RunTimes {
		const {loads} = this.picks;
		return {runMs: loads.runTimes(servers), readings: loads.readings(servers)};
	}

	async #report(report: SentReport): Promise<void> {
		const services = new Map(
			[...report.rates].map(
				([service, rates]) =>
					[service, this.#trafficOf(service, rates)] as const,
			),
		);
		const written = await this.store.write({
			kind: keyTrafficKind,
			name: this.deployment.vm,
			revision: this.#revision,
			spec: keyTrafficSpec(services),
		});
		fold(
			written,
			(error) => {
				this.log.info('traffic-not-reported', {error: errorText(error)});
				if (error.kind === 'conflict') {
					this.#revision = error.held?.revision;
				} else if (error.kind === 'missing') {
					this.#revision = undefined;
				}
			},
			({revision}) => {
				this.#revision = revision;
				this.#lastReport = report;
			},
		);
	}
}

function meansOf({
	runMs,
	readings,
}: RunTimes): ReadonlyMap<string, MeanRunTime> {
	return new Map(
		[...runMs].map(([server, ms]) => [
			server,
			{runMs: ms, readings: readings.get(server)!},
		]),
	);
}

/** Writes a second that the reports of all daemons may take. */
export function trafficWriteRate({store}: Deployment): number {
	return store.writeRate * writeShare;
}
