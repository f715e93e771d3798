/**
 * Reads the platform's list of VMs, which lags behind: at the start, so that a daemon
 * finds its peers, and later only while it is a relay or knows no other member. A VM
 * listed as leaving hands over its duties. A VM that is no longer on the list counts
 * as stopped, and so does one that operators have declared gone.
 */
import {
	Clock,
	Random,
	type Cancel,
	type Millis,
	type View,
} from '@kingcuproute/core';
import {Platform, type ListedVm} from '@kingcuproute/platform';
import {inject, singleton} from 'tsyringe';
import {type Settings} from '../settings/settings.js';
import {Task} from '../task/task.js';
import {ConfigTask} from './config-task.js';
import {FollowTask} from './follow-task.js';
import {Identity} from './identity.js';
import {MembershipTask} from './membership-task.js';

const aloneMs: Millis = 200;
/** Unknown daemons contacted after one read of the list; the others become known from their accounts. */
const maxIntroductions = 4;
/** Consecutive reads that must list a leaving VM as live before it counts as staying. */
const readsToStay = 3;
/** Up to this many members the list is read every `listMs`; with more, the interval grows in proportion. */
const membersAtFullRate = 32;

@singleton()
export class VmListTask extends Task {
	#list: ReadonlyMap<string, ListedVm> = new Map();
	/** Number of consecutive reads that listed a daemon as live, for each daemon known as leaving. */
	#liveReads: ReadonlyMap<string, number> = new Map();
	#cancel: Cancel | undefined;
	#stopView: (() => void) | undefined;

	constructor(
		@inject('Platform') private readonly platform: Platform,
		@inject(ConfigTask) private readonly config: ConfigTask,
		@inject(FollowTask) private readonly follow: FollowTask,
		@inject(MembershipTask) private readonly membership: MembershipTask,
		@inject(Identity) private readonly self: Identity,
		@inject('Settings') private readonly settings: Settings,
		@inject('Clock') private readonly clock: Clock,
		@inject('Random') private readonly random: Random,
	) {
		super();
	}

	override async start(): Promise<void> {
		this.#stopView = this.config.view.subscribe((view) => {
			this.#applyDeclaredGone(view);
		});
		await this.#read();
		this.#scheduleRead();
	}

	override async stop(): Promise<void> {
		this.#stopView?.();
		this.#cancel?.();
	}

	#scheduleRead(): void {
		const {length} = this.membership.members.value;
		const alone = length < 2;
		const ms = alone
			? aloneMs
			: this.settings.fleet.listMs * Math.max(1, length / membersAtFullRate);
		this.#cancel = this.clock.after(this.random.jitter(ms), () => {
			this.#scheduleRead();
			if (alone || this.follow.relay) {
				void this.#read();
			}
		});
	}

	async #read(): Promise<void> {
		const vms = await this.platform.vms();
		vms.ifRight((listed) => {
			this.#applyList(new Map(listed.map((vm) => [vm.vm, vm])));
		});
	}

	#applyList(listed: ReadonlyMap<string, ListedVm>): void {
		const removed = new Set(
			[...this.#list.keys()].filter((vm) => !listed.has(vm)),
		);
		this.#list = listed;
		const accounts = this.membership.membership.all();
		const gone = accounts
			.filter(({member}) => removed.has(member.vm))
			.map(({member}) => member.id);
		this.membership.markGone(gone, 'off the platform list');
		this.#applyLeaving(listed);
		const known = new Set(accounts.map(({member}) => member.address));
		const strangers = [...listed.values()].filter(
			({vm, address}) => vm !== this.self.vm && !known.has(address),
		);
		const first = this.random.below(Math.max(1, strangers.length));
		const rotated = [...strangers.slice(first), ...strangers.slice(0, first)];
		for (const {address} of rotated.slice(0, maxIntroductions)) {
			void this.membership.introduceTo(address);
		}
	}

	/** Applies at once that a VM is leaving, but that it stays only after several reads agree: replicas of the list may lag differently. */
	#applyLeaving(listed: ReadonlyMap<string, ListedVm>): void {
		const liveReads = new Map<string, number>();
		for (const {member, leaving} of this.membership.membership.all()) {
			const state = listed.get(member.vm)?.state;
			if (state === 'leaving' && !leaving) {
				this.membership.setLeaving(member.id, true);
			} else if (state === 'live' && leaving) {
				const reads = (this.#liveReads.get(member.id) ?? 0) + 1;
				liveReads.set(member.id, reads);
				if (reads >= readsToStay) {
					this.membership.setLeaving(member.id, false);
				}
			}
		}

		this.#liveReads = liveReads;
	}

	#applyDeclaredGone(view: View): void {
		const gone = view
			.all('vm')
			.flatMap((vm) => (vm.gone === undefined ? [] : [`${vm.vm}.${vm.gone}`]));
		// Every daemon gets this with the configuration, so it needs no rumour.
		this.membership.merge([], gone);
	}
}
