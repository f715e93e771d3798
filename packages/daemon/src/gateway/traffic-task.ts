/**
 * Records the requests for services divided by key, and reports them to the keepers
 * through an object in the platform's store.
 */
import {
	fold,
	isReportDue,
	KeyRecorder,
	reportIntervalMs,
	type Clock,
	type KeyTraffic,
	type Random,
	type SentReport,
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
import {ServerPicks} from './server-picks.js';
import {ViewTask} from './view-task.js';

/** Share of the store's write rate that the reports of all daemons may take. */
const writeShare = 0.1;

@singleton()
export class TrafficTask extends Task {
	readonly #recorders = new Map<string, KeyRecorder>();
	#revision: number | undefined;
	#lastReport: SentReport | undefined;
	#stopped = false;

	constructor(
		@inject(ViewTask) private readonly view: ViewTask,
		@inject(ServerPicks) private readonly picks: ServerPicks,
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
			const services = [...this.#recorders].map(
				([service, recorder]) => [service, recorder.rates(now)] as const,
			);
			const rates = new Map(services.filter(([, {size}]) => size > 0));
			const isDue = isReportDue(this.#lastReport, rates, now);
			if (rates.size > 0 && isDue && !this.#stopped) {
				await this.#report({rates, at: now});
			}
		}
	}

	#trafficOf(service: string, rates: KeyTraffic['rates']): KeyTraffic {
		const servers = this.view.view.value.inService.get(service) ?? [];
		return {rates, runMs: this.picks.loads.runTimes(servers)};
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

/** Writes a second that the reports of all daemons may take. */
export function trafficWriteRate({store}: Deployment): number {
	return store.writeRate * writeShare;
}
