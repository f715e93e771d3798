/**
 * Contracts' limits over the fleet: admits requests within this daemon's share,
 * lends and borrows shares by demand, and is the home of some contracts.
 */
import {
	alone,
	Clock,
	Homes,
	levelTermsOf,
	longestPromiseMs,
	mayHaveBeenLarge,
	ownShare,
	recounted,
	terms as defaultTerms,
	type Cancel,
	type Contract,
	type Headcount,
	type LevelTerms,
	type Member,
	type Millis,
	type Refusal,
	type View,
} from '@kingcuproute/core';
import {Mesh} from '@kingcuproute/mesh';
import {Right, type Either} from 'purify-ts';
import {inject, singleton} from 'tsyringe';
import {CommonSettingsTask} from '../fleet/common-settings-task.js';
import {ConfigTask} from '../fleet/config-task.js';
import {Identity} from '../fleet/identity.js';
import {DutiesTask} from '../fleet/duties-task.js';
import {MembershipTask} from '../fleet/membership-task.js';
import {Log} from '../log/log.js';
import {type Settings} from '../settings/settings.js';
import {Task} from '../task/task.js';
import {Topic} from '../task/topic.js';
import {ContractLimit} from './contract-limit.js';
import {type CustomerAsk} from './limit-homes.js';
import {LimitsMetrics} from './limits-metrics.js';
import {ShareCalls} from './share-calls.js';

/** A request let in; `release` is to be called exactly once, when it has ended. */
export type Admission = {readonly release: () => void};

/** What operators see of limits. */
export type LimitsState = {
	/** Requests refused for limits in the last second, by customer. */
	readonly shed: Readonly<Record<string, number>>;
};

const showMs: Millis = 1000;

@singleton()
export class LimitsTask extends Task {
	/** Customers shed in the last second. */
	readonly state = new Topic<LimitsState>({shed: {}});
	readonly #terms: LevelTerms;
	readonly #limits = new Map<string, ContractLimit>();
	readonly #calls: ShareCalls;
	#homes = Homes.of<Member>([], 1);
	#count: Headcount = alone;
	readonly #startedAt: Millis;
	#shed = new Map<string, number>();
	#cancels: readonly Cancel[] = [];

	constructor(
		@inject(ConfigTask) private readonly config: ConfigTask,
		@inject(MembershipTask) private readonly membership: MembershipTask,
		@inject(CommonSettingsTask) private readonly common: CommonSettingsTask,
		@inject(DutiesTask) private readonly duties: DutiesTask,
		@inject('Mesh') mesh: Mesh,
		@inject(Identity) private readonly self: Identity,
		@inject(LimitsMetrics) private readonly metrics: LimitsMetrics,
		@inject('Settings') settings: Settings,
		@inject('Clock') private readonly clock: Clock,
		@inject(Log) private readonly log: Log,
	) {
		super();
		this.#terms = levelTermsOf({...defaultTerms, ...settings.limits});
		this.#calls = new ShareCalls({
			self,
			mesh,
			clock,
			log,
			terms: this.#terms,
			mayAnswer: () => this.common.agreed.value,
			onAnswer: (customer, arrival, level) => {
				this.#limit(customer).receive(arrival, level);
			},
		});
		this.#startedAt = clock.now();
	}

	/** Resolves once shares that an earlier run on this VM may have lent are back. */
	override async start(): Promise<void> {
		this.#arrange();
		this.#cancels = [
			this.clock.repeat(this.#terms.single.askMs, () => {
				this.#askAll();
			}),
			this.clock.repeat(showMs, () => {
				this.#show();
			}),
			this.config.view.subscribe((view) => {
				this.#follow(view);
			}),
			this.membership.members.subscribe(() => {
				this.#arrange();
			}),
			this.duties.duties.subscribe(() => {
				this.#arrange();
			}),
			this.membership.known.subscribe(() => {
				this.#arrange();
			}),
		];
		await this.clock.sleep(this.#terms.single.promiseMs);
		if (this.#mustRestLong()) {
			await this.clock.sleep(this.#restedAt() - this.clock.now());
		}
	}

	override async stop(): Promise<void> {
		for (const cancel of this.#cancels) {
			cancel();
		}
	}

	/** Lets a request in, or refuses it as not-run with the time to try again. */
	admit(
		contract: Contract,
		now: Millis = this.clock.now(),
	): Either<Refusal, Admission> {
		const {customer} = contract;
		const limit = this.#limit(customer);
		const admitted = limit.offer(contract, this.#own(), now);
		admitted.ifLeft(() => {
			this.#shed.set(customer, (this.#shed.get(customer) ?? 0) + 1);
			this.metrics.shed(customer);
		});
		return admitted.map(() => ({
			release: once(() => {
				limit.release();
			}),
		}));
	}

	/** Lets a customer's request in; one without a contract is left to routing to refuse. */
	enter(customer: string): Either<Refusal, Admission> {
		const contract = this.config.view.value.get('contract', customer);
		return contract ? this.admit(contract) : Right({release: () => undefined});
	}

	/** This daemon's own share of every limit: a daemon that is silent but not proved gone may still use its own. */
	#own(): number {
		return ownShare(this.#count, this.clock.now());
	}

	#limit(customer: string): ContractLimit {
		let limit = this.#limits.get(customer);
		if (!limit) {
			limit = new ContractLimit(this.#startedAt, this.#terms);
			this.#limits.set(customer, limit);
		}

		return limit;
	}

	/** When nothing stands any more that an earlier run on this VM may have lent in a large fleet. */
	#restedAt(): Millis {
		return this.#startedAt + longestPromiseMs(this.#terms.domain);
	}

	#mustRestLong(): boolean {
		const isLarge = mayHaveBeenLarge(this.membership.known.value);
		return isLarge && this.clock.now() < this.#restedAt();
	}

	#arrange(): void {
		const {members, known} = this.membership;
		const able = this.duties.duties.value.members;
		this.#homes = Homes.of(members.value, known.value, able);
		if (known.value !== this.#count.known) {
			const now = this.clock.now();
			this.#count = recounted(this.#count, known.value, now, this.#terms);
		}
	}

	#askAll(): void {
		if (!this.common.agreed.value) {
			return;
		}

		const now = this.clock.now();
		this.#calls.askAll(this.#ownAsks(now), this.#homes, now);
	}

	#ownAsks(now: Millis): readonly CustomerAsk[] {
		const {vm, id} = this.self;
		const callers = this.#homes.groupSize(id);
		const asker = {vm, own: this.#own(), callers};
		const mustRest = this.#mustRestLong();
		const asks: CustomerAsk[] = [];
		for (const contract of this.config.view.value.all('contract')) {
			const {customer} = contract;
			const limit = this.#limit(customer);
			const preferred = this.#homes.below(customer, id);
			if (mustRest) {
				limit.reserveShareUntil(this.#restedAt());
			}

			const asked = preferred && limit.ask(preferred, contract, asker, now);
			if (asked) {
				asks.push({customer, ...asked});
			}
		}

		return asks;
	}

	#follow(view: View): void {
		for (const customer of this.#limits.keys()) {
			if (!view.get('contract', customer)) {
				this.#limits.delete(customer);
				this.#calls.forget(customer);
			}
		}
	}

	#show(): void {
		const shed = Object.fromEntries(this.#shed);
		this.#shed = new Map();
		const idle = Object.keys(shed).length === 0;
		if (!idle || Object.keys(this.state.value.shed).length > 0) {
			this.state.publish({shed});
		}

		for (const [customer, refused] of Object.entries(shed)) {
			const limit = this.#limit(customer);
			const usable = limit.usableShare(this.#own(), this.clock.now());
			this.log.info('customer-shed', {customer, refused, share: usable});
		}
	}
}

function once(act: () => void): () => void {
	let open = true;
	return () => {
		if (open) {
			open = false;
			act();
		}
	};
}
