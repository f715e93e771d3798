/** One daemon: starts its tasks so that each follows those it depends on, and stops them in reverse order. */
import {GrpcMesh} from '@kingcuproute/mesh';
import {Registry} from 'prom-client';
import {type SettingDifference} from '@kingcuproute/core';
import {CommonSettingsTask} from './fleet/common-settings-task.js';
import {ConfigTask} from './fleet/config-task.js';
import {countMesh, gaugeFleet} from './fleet/fleet-metrics.js';
import {DutiesTask} from './fleet/duties-task.js';
import {FollowTask} from './fleet/follow-task.js';
import {SpreadTask} from './fleet/spread-task.js';
import {VmListTask} from './fleet/vm-list-task.js';
import {InForceTask} from './fleet/in-force-task.js';
import {Identity} from './fleet/identity.js';
import {MembershipTask} from './fleet/membership-task.js';
import {Log} from './log/log.js';
import {logUnexpectedErrors} from './log/unexpected-errors.js';
import {daemonContainer} from './container.js';
import {BalanceTask} from './balance/balance-task.js';
import {LimitsTask} from './limits/limits-task.js';
import {OperatorTask} from './operator/operator-task.js';
import {GuardianTask} from './ownership/guardian-task.js';
import {PlannerTask} from './placement/planner-task.js';
import {ReportTask} from './placement/report-task.js';
import {EntryTask} from './requests/entry-task.js';
import {KeyTableTask} from './requests/keys/key-table-task.js';
import {QuarantineTask} from './requests/quarantine/quarantine-task.js';
import {RoutingTask} from './requests/routing-task.js';
import {type Settings} from './settings/settings.js';
import {type Task} from './task/task.js';

/** The ports that a started daemon listens on, on the hosts of its settings. */
export type Ports = {
	readonly entry: number;
	readonly mesh: number;
	readonly operator: number;
};

export class Daemon {
	readonly #tasks: readonly Task[];
	readonly #mesh: GrpcMesh;
	readonly #log: Log;
	readonly #operator: OperatorTask;
	readonly #entry: EntryTask;
	readonly #identity: Identity;

	/** Calls `refuse` at once if the fleet's settings differ from this daemon's. */
	constructor(
		private readonly settings: Settings,
		refuse: (differences: readonly SettingDifference[]) => void,
	) {
		const container = daemonContainer(settings);
		this.#log = container.resolve(Log);
		this.#mesh = container.resolve(GrpcMesh);
		this.#identity = container.resolve(Identity);
		this.#operator = container.resolve(OperatorTask);
		this.#entry = container.resolve(EntryTask);
		const registry = container.resolve<Registry>(Registry);
		countMesh(this.#mesh, registry);
		gaugeFleet(
			container.resolve(ConfigTask),
			container.resolve(MembershipTask),
			registry,
		);
		const commonSettings = container.resolve(CommonSettingsTask);
		commonSettings.refused.subscribe(refuse);
		this.#tasks = [
			container.resolve(ConfigTask),
			commonSettings,
			container.resolve(MembershipTask),
			container.resolve(DutiesTask),
			container.resolve(FollowTask),
			container.resolve(SpreadTask),
			container.resolve(VmListTask),
			container.resolve(InForceTask),
			container.resolve(PlannerTask),
			container.resolve(ReportTask),
			container.resolve(GuardianTask),
			container.resolve(RoutingTask),
			container.resolve(KeyTableTask),
			container.resolve(QuarantineTask),
			container.resolve(BalanceTask),
			container.resolve(LimitsTask),
			this.#entry,
			this.#operator,
		];
	}

	/** Starts every task; resolves once requests of callers are answered. */
	async start(): Promise<Ports> {
		const {host, port} = this.settings.mesh;
		const meshPort = await this.#mesh.listen(`${host}:${port}`);
		this.#identity.setListenAddress(`${host}:${meshPort}`);
		for (const task of this.#tasks) {
			await task.start();
		}

		this.#operator.ready.publish(true);
		const ports = {
			entry: this.#entry.port,
			mesh: meshPort,
			operator: this.#operator.port,
		};
		this.#log.info('listening', ports);
		logUnexpectedErrors(this.#log);
		return ports;
	}

	/** Ends requests that are still in flight, and logs them. */
	cut(): void {
		this.#entry.cut();
	}

	/** First refuses new requests and finishes those in flight, then stops every task. */
	async stop(): Promise<void> {
		this.#operator.ready.publish(false);
		await this.#entry.stop();
		for (const task of this.#tasks.toReversed()) {
			if (task !== this.#entry) {
				await task.stop();
			}
		}

		this.#mesh.close();
		this.#log.info('stopped');
	}
}
