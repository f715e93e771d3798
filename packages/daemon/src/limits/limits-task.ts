/**
 * Enforces contract limits across the fleet: admits requests within this daemon's
 * share, lends and borrows shares according to demand, and is home for some contracts.
 */
import {
	initialDaemonCount,
	Clock,
	Homes,
	levelTermsOf,
	longestPromiseMs,
	mayHaveBeenLarge,
	ownShare,
	withDaemonCount,
	defaultLoanTerms as defaultTerms,
	type Cancel,
	type Contract,
	type DaemonCount,
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

/** An admitted request; `release` must be called when it has ended, further calls do nothing. */
export type AdmittedRequest = {readonly release: () => void};

/** The state of limits shown to operators. */
export type LimitsState = {
	/** Requests refused in the last second for being over a limit, by customer. */
	readonly shed: Readonly<Record<string, number>>;
};

const publishMs: Millis = 1000;

@singleton()
export class LimitsTask extends Task {
	/** Requests shed in the last second, by customer. */
	readonly state = new Topic<LimitsState>({shed: {}});
	readonly #terms: LevelTerms;
	readonly #limits = new Map<string, ContractLimit>();
	readonly #calls: ShareCalls;
	#homes = Homes.of<Member>([], 1);
	#daemonCount: DaemonCount = initialDaemonCount;
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
			onAnswer: (customer, received, level) => {
				this.#limit(customer).receive(received, level);
			},
		});
		this.#startedAt = clock.now();
	}

	/** Resolves once every loan that an earlier run on this VM may have made has expired. */
	override async start(): Promise<void> {
		this.#updateHomes();
		this.#cancels = [
			this.clock.repeat(this.#terms.single.askMs, () => {
				this.#askAll();
			}),
			this.clock.repeat(publishMs, () => {
				this.#publishShed();
			}),
			this.config.view.subscribe((view) => {
				this.#forgetRemoved(view);
			}),
			this.membership.members.subscribe(() => {
				this.#updateHomes();
			}),
			this.duties.duties.subscribe(() => {
				this.#updateHomes();
			}),
			this.membership.knownCount.subscribe(() => {
				this.#updateHomes();
			}),
		];
		await this.clock.sleep(this.#terms.single.promiseMs);
		if (this.#mayHaveEarlierLoans()) {
			await this.clock.sleep(this.#earlierLoansEndAt() - this.clock.now());
		}
	}

	override async stop(): Promise<void> {
		for (const cancel of this.#cancels) {
			cancel();
		}
	}

	/** Admits a request, or refuses it as not run with the time after which to try again. */
	admit(
		contract: Contract,
		now: Millis = this.clock.now(),
	): Either<Refusal, AdmittedRequest> {
		const {customer} = contract;
		const limit = this.#limit(customer);
		const admitted = limit.offer(contract, this.#ownShare(), now);
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

	/** Admits a customer's request, or refuses it. Customers without a contract are admitted here and refused by routing. */
	admitCustomer(customer: string): Either<Refusal, AdmittedRequest> {
		const contract = this.config.view.value.get('contract', customer);
		return contract ? this.admit(contract) : Right({release: () => undefined});
	}

	/** This daemon's own share of every limit. Daemons that are silent but not proved gone are counted too, since they may still use theirs. */
	#ownShare(): number {
		return ownShare(this.#daemonCount, this.clock.now());
	}

	#limit(customer: string): ContractLimit {
		let limit = this.#limits.get(customer);
		if (!limit) {
			limit = new ContractLimit(this.#startedAt, this.#terms);
			this.#limits.set(customer, limit);
		}

		return limit;
	}

	/** When every loan has expired that an earlier run on this VM may have made in a large fleet. */
	#earlierLoansEndAt(): Millis {
		return this.#startedAt + longestPromiseMs(this.#terms.domain);
	}

	/** Whether loans of an earlier run on this VM may still hold, on the longer terms of a large fleet. */
	#mayHaveEarlierLoans(): boolean {
		const isLarge = mayHaveBeenLarge(this.membership.knownCount.value);
		return isLarge && this.clock.now() < this.#earlierLoansEndAt();
	}

	#updateHomes(): void {
		const {members, knownCount} = this.membership;
		const homeMembers = this.duties.duties.value.members;
		this.#homes = Homes.of(members.value, knownCount.value, homeMembers);
		if (knownCount.value !== this.#daemonCount.known) {
			const now = this.clock.now();
			this.#daemonCount = withDaemonCount(
				this.#daemonCount,
				knownCount.value,
				now,
				this.#terms,
			);
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
		const asker = {vm, own: this.#ownShare(), callers};
		const hasEarlierLoans = this.#mayHaveEarlierLoans();
		const asks: CustomerAsk[] = [];
		for (const contract of this.config.view.value.all('contract')) {
			const {customer} = contract;
			const limit = this.#limit(customer);
			const preferred = this.#homes.homeOf(customer, id);
			if (hasEarlierLoans) {
				limit.reserveShareUntil(this.#earlierLoansEndAt());
			}

			const asked = preferred && limit.ask(preferred, contract, asker, now);
			if (asked) {
				asks.push({customer, ...asked});
			}
		}

		return asks;
	}

	#forgetRemoved(view: View): void {
		for (const customer of this.#limits.keys()) {
			if (!view.get('contract', customer)) {
				this.#limits.delete(customer);
				this.#calls.forget(customer);
			}
		}
	}

	#publishShed(): void {
		const shed = Object.fromEntries(this.#shed);
		this.#shed = new Map();
		const idle = Object.keys(shed).length === 0;
		if (!idle || Object.keys(this.state.value.shed).length > 0) {
			this.state.publish({shed});
		}

		for (const [customer, refused] of Object.entries(shed)) {
			const limit = this.#limit(customer);
			const usableShare = limit.usableShare(this.#ownShare(), this.clock.now());
			this.log.info('customer-shed', {customer, refused, share: usableShare});
		}
	}
}

/** A function that calls `action` the first time only. */
function once(action: () => void): () => void {
	let open = true;
	return () => {
		if (open) {
			open = false;
			action();
		}
	};
}
