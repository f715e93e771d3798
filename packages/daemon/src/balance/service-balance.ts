/** Load balancing of one service: its pool, its hedged requests, and the timer that serves waiting requests. */
import {
	Gauges,
	Hedge,
	Pool,
	type PoolRequest,
	type Balancer,
	type BalancePolicy,
	type Cancel,
	type Clock,
	type Decision,
	type Millis,
	type Refusal,
} from '@kingcuproute/core';
import {Left, Right, type Either} from 'purify-ts';
import {type PickedServer} from './pick.js';

type Settle = (result: Either<Refusal, PickedServer>) => void;

/** A request that waits for its server. */
type PendingPick = {readonly since: Millis; readonly settle: Settle};

const tickMs: Millis = 4;

export class ServiceBalance {
	readonly gauges: Gauges;
	readonly hedge: Hedge;
	readonly #pool: Pool<PendingPick>;
	#cancel: Cancel | undefined;

	constructor(
		private readonly clock: Clock,
		balancer: Balancer,
		policy: BalancePolicy,
		/** Called after each request that has ended. */
		private readonly ended: () => void,
	) {
		this.gauges = new Gauges(policy);
		this.hedge = new Hedge(policy);
		this.#pool = new Pool(this.gauges, balancer, policy);
	}

	get waiting(): number {
		return this.#pool.waiting;
	}

	/** Resolves with a server once one is free, or with a refusal if the request is not to be sent. */
	async pick(request: PoolRequest): Promise<Either<Refusal, PickedServer>> {
		return new Promise((resolve) => {
			const since = this.clock.now();
			const mark: PendingPick = {since, settle: resolve};
			this.#carryOut(this.#pool.submit(request, mark, since));
		});
	}

	/** Ends finished ramps and serves waiting requests. */
	tick(): void {
		this.#carryOut(this.#pool.tick(this.clock.now()));
	}

	stop(): void {
		this.#cancel?.();
	}

	#carryOut(decisions: ReadonlyArray<Decision<PendingPick>>): void {
		for (const decision of decisions) {
			const {settle} = decision.mark;
			settle(
				decision.kind === 'refused'
					? Left(decision.refusal)
					: Right(this.#picked(decision)),
			);
		}

		if (this.#pool.waiting > 0) {
			this.#cancel ??= this.clock.after(tickMs, () => {
				this.#cancel = undefined;
				this.tick();
			});
		}
	}

	#picked({
		mark,
		server,
	}: Extract<Decision<PendingPick>, {readonly kind: 'picked'}>): PickedServer {
		let open = true;
		return {
			server,
			queuedMs: this.clock.now() - mark.since,
			done: (outcome) => {
				if (!open) {
					return;
				}

				open = false;
				const now = this.clock.now();
				if (outcome.kind === 'ran') {
					this.hedge.addSample(outcome.latencyMs);
				}

				this.#carryOut(this.#pool.done(server.backendServer, outcome, now));
				this.ended();
			},
		};
	}
}
