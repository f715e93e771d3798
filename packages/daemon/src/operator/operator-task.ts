/** The operators' HTTP server: health, readiness, metrics and status, on an address of its own. */
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {tableInForce, type Millis} from '@kingcuproute/core';
import {App} from '@tinyhttp/app';
import {Registry, collectDefaultMetrics} from 'prom-client';
import {inject, singleton} from 'tsyringe';
import {ConfigTask} from '../fleet/config-task.js';
import {DutiesTask} from '../fleet/duties-task.js';
import {Identity} from '../fleet/identity.js';
import {InForceTask} from '../fleet/in-force-task.js';
import {MembershipTask} from '../fleet/membership-task.js';
import {GuardianTask} from '../ownership/guardian-task.js';
import {BalanceTask} from '../balance/balance-task.js';
import {LimitsTask} from '../limits/limits-task.js';
import {QuarantineTask} from '../requests/quarantine/quarantine-task.js';
import {type Settings} from '../settings/settings.js';
import {Task} from '../task/task.js';
import {Topic} from '../task/topic.js';
import {Decisions} from './decisions.js';
import {leavingServers} from './leaving.js';

/** Interval between samples of the event loop's delay; each sample wakes an idle daemon. */
const loopDelayMs: Millis = 200;

@singleton()
export class OperatorTask extends Task {
	port = 0;
	/** Whether the platform's load balancer should send callers to this daemon. */
	readonly ready = new Topic(false);
	#server: Server | undefined;

	constructor(
		@inject(ConfigTask) private readonly config: ConfigTask,
		@inject(MembershipTask) private readonly membership: MembershipTask,
		@inject(DutiesTask) private readonly duties: DutiesTask,
		@inject(GuardianTask) private readonly guardian: GuardianTask,
		@inject(InForceTask) private readonly inForce: InForceTask,
		@inject(BalanceTask) private readonly balance: BalanceTask,
		@inject(LimitsTask) private readonly limits: LimitsTask,
		@inject(QuarantineTask) private readonly quarantine: QuarantineTask,
		@inject(Decisions) private readonly decisions: Decisions,
		@inject(Identity) private readonly self: Identity,
		@inject(Registry) private readonly registry: Registry,
		@inject('Settings') private readonly settings: Settings,
	) {
		super();
	}

	override async start(): Promise<void> {
		collectDefaultMetrics({
			register: this.registry,
			eventLoopMonitoringPrecision: loopDelayMs,
		});
		const app = this.#routes();
		this.#server = createServer((req, res) => {
			app.handler(req as never, res as never);
		});
		const {host, port} = this.settings.operator;
		await new Promise<void>((resolve) => {
			this.#server!.listen(port, host, resolve);
		});
		this.port = (this.#server.address() as AddressInfo).port;
	}

	override async stop(): Promise<void> {
		this.#server?.closeAllConnections();
		this.#server?.close();
	}

	#routes(): App {
		const app = new App();
		app.get('/healthz', (_req, res) => {
			res.json({healthy: true});
		});
		app.get('/readyz', (_req, res) => {
			const ready = this.ready.value && this.config.view.value.version > 0;
			res.status(ready ? 200 : 503).json({ready});
		});
		app.get('/metrics', async (_req, res) => {
			res.setHeader('content-type', this.registry.contentType);
			res.end(await this.registry.metrics());
		});
		app.get('/status', (_req, res) => {
			res.json(this.#status());
		});
		app.get('/fleet/in-force', async (req, res) => {
			res.json(await this.inForce.check(Number(req.query.version ?? 0)));
		});
		this.#queryRoutes(app);
		return app;
	}

	/** Routes that the command line queries: the table in force of a service, and recorded decisions. */
	#queryRoutes(app: App): void {
		app.get('/table', (req, res) => {
			const service = String(req.query.service ?? '');
			const view = this.config.view.value;
			const slices = view.get('service', service)?.slices ?? 0;
			res.json({slices, table: tableInForce(view, service)});
		});
		app.get('/decisions', (req, res) => {
			const {id, service, slice} = req.query;
			const decisions =
				id === undefined
					? this.decisions.about({
							kind: 'slice',
							service: String(service),
							slice: Number(slice),
						})
					: this.decisions.about({kind: 'request', id: String(id)});
			res.json(decisions);
		});
	}

	#status() {
		return {
			self: this.self.member(),
			ready: this.ready.value,
			version: this.config.version.value,
			doubted: this.membership.membership
				.all()
				.filter(({out}) => out)
				.map(({member}) => member.id),
			store: this.config.store.value,
			members: this.membership.members.value,
			withoutDuties: this.duties.duties.value.reasons,
			guards: this.guardian.status.value,
			leaving: leavingServers(this.config.view.value),
			balance: this.balance.state.value,
			shed: this.limits.state.value.shed,
			quarantined: this.quarantine.condemned.value,
		};
	}
}
