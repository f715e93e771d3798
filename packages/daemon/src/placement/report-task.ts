/**
 * Reports this daemon's request counts to the planner of each service. In a large
 * fleet each daemon reports less often, so that a planner receives a bounded
 * number of reports per second whatever the size of the fleet.
 */
import {
	Clock,
	loadReport,
	Random,
	type Cancel,
	type LoadReport,
	type Millis,
	type Service,
} from '@kingcuproute/core';
import {Mesh, reportLoad} from '@kingcuproute/mesh';
import {inject, singleton} from 'tsyringe';
import {ConfigTask} from '../fleet/config-task.js';
import {Identity} from '../fleet/identity.js';
import {MembershipTask} from '../fleet/membership-task.js';
import {type Settings} from '../settings/settings.js';
import {Task} from '../task/task.js';
import {plannerOf} from './planner-of.js';
import {keysPerReport, reportInterval} from './report-interval.js';
import {ServerHealth} from './server-health.js';
import {SliceLoad} from './slice-load.js';

const maxSlices = 48;
const callMs: Millis = 1000;

@singleton()
export class ReportTask extends Task {
	#cancel: Cancel | undefined;
	#unsubscribe: (() => void) | undefined;

	constructor(
		@inject('Mesh') private readonly mesh: Mesh,
		@inject(ConfigTask) private readonly config: ConfigTask,
		@inject(MembershipTask) private readonly membership: MembershipTask,
		@inject(Identity) private readonly self: Identity,
		@inject(SliceLoad) private readonly load: SliceLoad,
		@inject(ServerHealth) private readonly health: ServerHealth,
		@inject('Settings') private readonly settings: Settings,
		@inject('Random') private readonly random: Random,
		@inject('Clock') private readonly clock: Clock,
	) {
		super();
	}

	override async start(): Promise<void> {
		this.#unsubscribe = this.health.down.subscribe(() => {
			this.#reportAll();
		});
		this.#schedule();
	}

	override async stop(): Promise<void> {
		this.#unsubscribe?.();
		this.#cancel?.();
	}

	#schedule(): void {
		const members = this.membership.members.value.length;
		const ms = reportInterval(this.settings.placement.reportMs, members);
		this.#cancel = this.clock.after(ms, () => {
			this.#schedule();
			this.#reportAll();
		});
	}

	#reportAll(): void {
		for (const service of this.config.view.value.all('service')) {
			if (service.slices > 0) {
				void this.#report(service);
			}
		}
	}

	async #report(reported: Service): Promise<void> {
		const {service} = reported;
		const planner = plannerOf(service, this.membership.members.value);
		if (!planner) {
			return;
		}

		const {slices, rest, keys} = this.#load(reported);
		await this.mesh.call(
			planner.address,
			reportLoad,
			{
				service,
				from: this.self.id,
				slices: [...slices.keys()],
				counts: [...slices.values()],
				rest,
				keys: [...keys.keys()],
				keyCounts: [...keys.values()],
				down: this.#down(service),
			},
			callMs,
		);
	}

	#load({service, slices}: Service): LoadReport {
		const members = this.membership.members.value.length;
		const keys = keysPerReport(this.settings.placement.reportMs, members);
		return loadReport(
			this.load.take(service),
			slices,
			{slices: maxSlices, keys},
			this.random.fraction(),
		);
	}

	#down(service: string): string[] {
		return [...this.health.down.value].filter(
			(name) =>
				this.config.view.value.get('backend-server', name)?.service === service,
		);
	}
}
