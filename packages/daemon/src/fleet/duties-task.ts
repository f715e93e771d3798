/** Publishes which live daemons may take duties, computed from the members, the platform's list and what operators have set for VMs and failure domains. */
import {
	dutiesOf,
	type Duties,
	type FailureDomain,
	type Member,
	type Vm,
} from '@kingcuproute/core';
import {inject, singleton} from 'tsyringe';
import {Log} from '../log/log.js';
import {Task} from '../task/task.js';
import {Topic} from '../task/topic.js';
import {ConfigTask} from './config-task.js';
import {MembershipTask} from './membership-task.js';

/** What the duties are computed from. */
type Inputs = {
	readonly members: readonly Member[];
	readonly leaving: ReadonlySet<string>;
	readonly vms: readonly Vm[];
	readonly failureDomains: readonly FailureDomain[];
};

@singleton()
export class DutiesTask extends Task {
	readonly duties = new Topic<Duties>({
		members: [],
		leavingVms: new Set(),
		reasons: [],
	});

	#lastInputs: Inputs | undefined;
	#stops: ReadonlyArray<() => void> = [];

	constructor(
		@inject(ConfigTask) private readonly config: ConfigTask,
		@inject(MembershipTask) private readonly membership: MembershipTask,
		@inject(Log) private readonly log: Log,
	) {
		super();
	}

	override async start(): Promise<void> {
		const update = () => {
			this.#update();
		};

		this.#stops = [
			this.config.view.subscribe(update),
			this.membership.members.subscribe(update),
			this.membership.leaving.subscribe(update),
		];
		this.#update();
	}

	override async stop(): Promise<void> {
		for (const stop of this.#stops) {
			stop();
		}
	}

	#update(): void {
		const view = this.config.view.value;
		const inputs = {
			members: this.membership.members.value,
			leaving: this.membership.leaving.value,
			vms: view.all('vm'),
			failureDomains: view.all('failure-domain'),
		};
		const {members, leaving, vms, failureDomains} = this.#lastInputs ?? {};
		const isSame =
			members === inputs.members &&
			leaving === inputs.leaving &&
			vms === inputs.vms &&
			failureDomains === inputs.failureDomains;
		if (!isSame) {
			this.#lastInputs = inputs;
			this.#publish(dutiesOf(inputs));
		}
	}

	#publish(next: Duties): void {
		const before = new Map(
			this.duties.value.reasons.map(({vm, reason}) => [vm, reason]),
		);
		for (const {vm, reason} of next.reasons) {
			if (before.get(vm) !== reason) {
				this.log.info('duties-refused', {member: vm, reason});
			}
		}

		this.duties.publish(next);
	}
}
