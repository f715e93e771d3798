/**
 * Plans the tables of the services for which this daemon is first by rendezvous
 * hashing. If two daemons both plan a service, only one conditional update succeeds
 * and the other daemon plans again from the table that it wrote.
 */
import {
	absenceMs,
	Clock,
	initialPlannerState,
	planInParts,
	type Cancel,
	type Change,
	type Millis,
	type Plan,
	type PlannerState,
	type Service,
	type Situation,
} from '@kingcuproute/core';
import {Mesh, reportLoad, type LoadMessage} from '@kingcuproute/mesh';
import {inject, singleton} from 'tsyringe';
import {BalanceTask} from '../balance/balance-task.js';
import {CommonSettingsTask} from '../fleet/common-settings-task.js';
import {ConfigTask} from '../fleet/config-task.js';
import {DutiesTask} from '../fleet/duties-task.js';
import {Identity} from '../fleet/identity.js';
import {MembershipTask} from '../fleet/membership-task.js';
import {Log} from '../log/log.js';
import {type Settings} from '../settings/settings.js';
import {Task} from '../task/task.js';
import {changeLines} from './change-lines.js';
import {plannerOf} from './planner-of.js';
import {neverPlanned, type Planning} from './planning.js';
import {Presence} from './presence.js';
import {Reports} from './reports.js';
import {situationOf} from './situation-of.js';
import {TableWriter} from './table-writer.js';

const minMembers = 2;
/** A service's servers must stay the same for this long before its first table is planned. */
const settleMs: Millis = 1000;
/** Pause before planning again from the same input after a plan that changed nothing. */
const replanMs: Millis = 2000;

@singleton()
export class PlannerTask extends Task {
	readonly #plannings = new Map<string, Planning>();
	readonly #presence = new Presence();
	#cancel: Cancel | undefined;
	#busy = false;
	#writes = 0;

	constructor(
		@inject(TableWriter) private readonly writer: TableWriter,
		@inject('Mesh') mesh: Mesh,
		@inject(BalanceTask) private readonly balance: BalanceTask,
		@inject(ConfigTask) private readonly config: ConfigTask,
		@inject(MembershipTask) private readonly membership: MembershipTask,
		@inject(CommonSettingsTask) private readonly common: CommonSettingsTask,
		@inject(DutiesTask) private readonly duties: DutiesTask,
		@inject(Identity) private readonly self: Identity,
		@inject('Settings') private readonly settings: Settings,
		@inject('Clock') private readonly clock: Clock,
		@inject(Log) private readonly log: Log,
	) {
		super();
		mesh.serve(reportLoad, (message) => {
			this.#receiveLoad(message);
			return {};
		});
	}

	override async start(): Promise<void> {
		this.#cancel = this.clock.repeat(this.settings.placement.planMs, () => {
			void this.#planAll();
		});
	}

	override async stop(): Promise<void> {
		this.#cancel?.();
	}

	async #planAll(): Promise<void> {
		const members = this.membership.members.value;
		this.#presence.recent(members, this.clock.now(), absenceMs);
		const canPlan = this.common.agreed.value && this.config.store.value.up;
		if (this.#busy || !canPlan) {
			return;
		}

		this.#busy = true;
		try {
			for (const service of this.config.view.value.all('service')) {
				await this.#planIfMine(service);
			}
		} catch (error) {
			this.log.error('planner-fault', {error: String(error)});
		} finally {
			this.#busy = false;
		}
	}

	async #planIfMine(service: Service): Promise<void> {
		const members = this.membership.members.value;
		const name = service.service;
		const isMine =
			service.slices > 0 &&
			members.length >= minMembers &&
			plannerOf(name, members)?.id === this.self.id;
		if (isMine) {
			await this.#plan(service);
		} else {
			this.#plannings.delete(name);
		}
	}

	async #plan(service: Service): Promise<void> {
		const now = this.clock.now();
		const name = service.service;
		const view = this.config.view.value;
		const planning = this.#planning(service, now);
		const members = this.membership.members.value;
		const draining = this.balance.draining(name);
		const {leavingVms} = this.duties.duties.value;
		const situation = situationOf(service, {
			view,
			members,
			recent: this.#presence.recent(members, now, absenceMs),
			gone: this.membership.gone.value,
			leavingVms,
			draining,
			reports: planning.reports,
			placement: this.settings.placement,
			now,
			writer: `${this.self.id}/plan-${++this.#writes}`,
		});
		const canStart =
			situation.table !== undefined || now - planning.since >= settleMs;
		const down = [...situation.down, '/', ...draining, '/', ...leavingVms].join(
			' ',
		);
		const {last} = planning;
		const isSame =
			last.foundNothing &&
			last.view === view &&
			last.members === members &&
			last.down === down;
		if (!canStart || (isSame && now - last.at < replanMs)) {
			return;
		}

		const next = await this.#computePlan(situation, planning.state);
		const foundNothing = next.table === undefined;
		this.#plannings.set(name, {
			...planning,
			state: next.state,
			last: {at: now, view, members, down, foundNothing},
		});
		if (next.table) {
			this.#logChanges(name, next.changes);
			const version = situation.table ? view.versionOf('table', name) : 0;
			await this.writer.write(next.table, version);
		}
	}

	/** Computes a plan, returning to the event loop between its parts. */
	async #computePlan(situation: Situation, state: PlannerState): Promise<Plan> {
		const steps = planInParts(situation, state);
		let step = steps.next();
		while (!step.done) {
			await this.clock.sleep(0);
			step = steps.next();
		}

		return step.value;
	}

	/** The planning of the service; a new one if this daemon has just become its planner. */
	#planning(service: Service, now: Millis): Planning {
		const servers = this.config.view.value
			.all('backend-server')
			.filter((server) => server.service === service.service)
			.map(({backendServer}) => backendServer)
			.join(' ');
		const known = this.#plannings.get(service.service) ?? {
			reports: new Reports(now, this.settings.placement.fadeMs),
			state: initialPlannerState(now),
			servers,
			since: now,
			last: neverPlanned,
		};
		const planning =
			known.servers === servers ? known : {...known, servers, since: now};
		this.#plannings.set(service.service, planning);
		return planning;
	}

	#logChanges(service: string, changes: readonly Change[]): void {
		for (const {event, fields} of changeLines(changes)) {
			this.log.info(event, {service, ...fields});
		}
	}

	#receiveLoad(message: LoadMessage): void {
		const {service, from, slices, counts, rest, down} = message;
		const planning = this.#plannings.get(service ?? '');
		const known = this.config.view.value.get('service', service ?? '');
		if (!planning || !known || !from) {
			return;
		}

		const load = {
			slices: new Map(
				(slices ?? []).map((slice, index) => [slice, counts?.[index] ?? 0]),
			),
			rest: rest ?? 0,
			keys: new Map(
				(message.keys ?? []).map((key, index) => [
					key,
					message.keyCounts?.[index] ?? 0,
				]),
			),
		};
		planning.reports.add(from, load, {
			slices: known.slices,
			down: down ?? [],
			now: this.clock.now(),
		});
	}
}
