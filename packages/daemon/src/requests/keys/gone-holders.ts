/**
 * Proves that a daemon run that held key parts has ended: its VM runs another daemon,
 * an operator has declared it gone, or the platform no longer lists its VM.
 */
import {Clock, type KeyTable, type Millis} from '@kingcuproute/core';
import {Platform} from '@kingcuproute/platform';
import {inject, singleton} from 'tsyringe';
import {ConfigTask} from '../../fleet/config-task.js';
import {MembershipTask} from '../../fleet/membership-task.js';

/**
 * The platform's list may miss a new VM for this long. A VM that got its row earlier
 * and is not listed has stopped.
 */
const listLagMs: Millis = 60_000;

@singleton()
export class GoneHolders {
	#listedVms: ReadonlySet<string> | undefined;

	constructor(
		@inject('Platform') private readonly platform: Platform,
		@inject(ConfigTask) private readonly config: ConfigTask,
		@inject(MembershipTask) private readonly membership: MembershipTask,
		@inject('Clock') private readonly clock: Clock,
	) {}

	/**
	 * Reads the platform's list of VMs, but only if neither the holder nor the successor
	 * of some row is a member.
	 */
	async list({rows}: KeyTable): Promise<void> {
		const ids = new Set(this.membership.members.value.map(({id}) => id));
		const orphaned = rows.some(
			({holder, successor}) => !ids.has(holder) && !ids.has(successor),
		);
		if (!orphaned) {
			return;
		}

		const answer = await this.platform.vms();
		answer.ifRight((vms) => {
			this.#listedVms = new Set(vms.map(({vm}) => vm));
		});
	}

	/** Whether the run that got its row at `since` (Unix ms) is proved to have ended. */
	has(id: string, since: number): boolean {
		const [vm, incarnation] = id.split('.');
		const replaced = this.membership.members.value.some(
			(member) => member.vm === vm && member.id !== id,
		);
		const declaredGone =
			this.config.view.value.get('vm', vm)?.gone === incarnation;
		const unlisted =
			this.#listedVms?.has(vm) === false &&
			this.clock.wall() - since > listLagMs;
		return replaced || declaredGone || unlisted;
	}
}
