/** A daemon of the benchmark: the pure pool, hedges and limits of one daemon, driven by events. */
import {
	withAnswer,
	nextAsk,
	ColdDetector,
	demandMeasured,
	initialLoan,
	fullMeter,
	Gauges,
	Hedge,
	Ledger,
	offered,
	Pool,
	released,
	defaultLoanTerms,
	withHome,
	usableShare,
	type BackendServer,
	type Contract,
	type Decision,
	type Evidence,
	type Loan,
	type Meter,
	type Millis,
	type OutcomeKind,
	type Random,
	type Service,
	type ColdVerdict,
} from '@kingcuproute/core';
import {type EventQueue} from './event-queue.js';
import {type ServerModel} from './server-model.js';
import {type Variant} from './variant.js';

/** Servers by name: the model, and the one-way delay from this daemon. */
export type Link = {readonly model: ServerModel; readonly oneWayMs: Millis};

export type DaemonOptions = {
	readonly index: number;
	readonly daemons: number;
	readonly service: Service;
	readonly variant: Variant;
	readonly links: ReadonlyMap<string, Link>;
	readonly openMs: Millis;
	readonly deadlineMs: Millis;
};

/** How a request ended for its caller. */
export type End = 'answered' | 'failed' | 'shed' | 'over-limit' | 'unfinished';

type Try = {
	readonly backendServer: string;
	readonly sentAt: Millis;
	cancel: () => void;
};

type Req = {
	readonly contract: Contract;
	readonly end: (end: End) => void;
	readonly deadlineAt: Millis;
	over: boolean;
	outstanding: number;
	retries: number;
	tries: readonly Try[];
};

const maxRetries = 2;
const tickMs: Millis = 4;

export class DaemonModel {
	hedges = 0;
	retries = 0;
	readonly gauges: Gauges;
	/** Evidence of slow servers sent to their homes, and verdicts sent to callers. */
	evidences = 0;
	verdicts = 0;
	readonly #coldDetector: ColdDetector;
	readonly #pool: Pool<Req>;
	readonly #hedge: Hedge;
	readonly #opened = new Map<string, number>();
	readonly #meters = new Map<string, Meter>();
	readonly #loans = new Map<string, Loan>();
	readonly #ledgers = new Map<string, Ledger>();
	readonly #service: Service;
	#servers: readonly BackendServer[] = [];

	constructor(
		private readonly options: DaemonOptions,
		private readonly events: EventQueue,
		random: Random,
	) {
		const {variant, service} = options;
		this.gauges = new Gauges(variant.policy);
		this.#coldDetector = new ColdDetector(variant.policy);
		this.#hedge = new Hedge(variant.policy);
		const balancer = variant.balancer(random, variant.policy);
		this.#pool = new Pool(this.gauges, balancer, variant.policy);
		this.#service = variant.whole ? service : {...service, slowStartMs: 0};
		events.repeat(tickMs, () => {
			this.#carryOut(this.#pool.tick(events.now));
			this.gauges.takeNotices();
		});
	}

	/** The servers in service, as far as this daemon knows by now. */
	setServers(servers: readonly BackendServer[]): void {
		this.#servers = servers;
		const {index, daemons} = this.options;
		this.gauges.setServers(
			servers.map(({backendServer}) => backendServer),
			this.events.now,
		);
		this.gauges.setCallerRanks(
			new Map(
				servers.map(({backendServer}, at) => [
					backendServer,
					{rank: (index + at * 5) % daemons, count: daemons},
				]),
			),
		);
	}

	/** Takes a request of a caller. */
	take(contract: Contract, end: (end: End) => void): void {
		const {now} = this.events;
		if (!this.#isAdmitted(contract)) {
			end('over-limit');
			return;
		}

		const req: Req = {
			contract,
			end,
			deadlineAt: now + this.options.deadlineMs,
			over: false,
			outstanding: 0,
			retries: 0,
			tries: [],
		};
		this.#submit(req);
	}

	/** Asks `home` for a share of the contract's limit, as over the mesh. */
	askShare(contract: Contract, home: DaemonModel, oneWayMs: Millis): void {
		const {customer} = contract;
		const {index, daemons} = this.options;
		const askedAt = this.events.now;
		const meter = demandMeasured(this.#meter(customer), contract, askedAt);
		this.#meters.set(customer, meter);
		const turned = withHome(this.#loan(customer), 'home', askedAt);
		const asker = {
			vm: `vm-${index}`,
			own: 1 / daemons,
			demand: meter.demand,
			now: askedAt,
		};
		const {loan, ask} = nextAsk(turned, asker, defaultLoanTerms);
		this.#loans.set(customer, loan);
		this.events.after(oneWayMs, () => {
			const answer = home.#ledger(customer).ask(ask, this.events.now);
			this.events.after(oneWayMs, () => {
				const received = {home: 'home', answer, askedAt, now: this.events.now};
				this.#loans.set(
					customer,
					withAnswer(this.#loan(customer), received, defaultLoanTerms),
				);
			});
		});
	}

	/** Sends the evidence about servers to their homes, and the verdicts of the homes to all callers. */
	tellEvidence(daemons: readonly DaemonModel[], oneWayMs: Millis): void {
		for (const evidence of this.gauges.takeEvidence()) {
			this.evidences++;
			const serverIndex = this.#servers.findIndex(
				({backendServer}) => backendServer === evidence.backendServer,
			);
			const home = daemons[Math.max(0, serverIndex) % daemons.length];
			this.events.after(oneWayMs, () => {
				const verdict = home.addEvidence(evidence);
				if (verdict) {
					home.verdicts++;
					for (const daemon of daemons) {
						this.events.after(oneWayMs, () => {
							daemon.gauges.applyVerdict(verdict, this.events.now);
						});
					}
				}
			});
		}
	}

	/** As the home of a server: adds evidence of one caller. */
	addEvidence(evidence: Evidence): ColdVerdict | undefined {
		return this.#coldDetector.addEvidence(evidence, this.events.now);
	}

	#isAdmitted(contract: Contract): boolean {
		if (!this.options.variant.whole) {
			return true;
		}

		const {now} = this.events;
		const {customer} = contract;
		const own = 1 / this.options.daemons;
		const share = usableShare(this.#loan(customer), own, now, defaultLoanTerms);
		const next = offered(this.#meter(customer), contract, share, now);
		this.#meters.set(customer, next.meter);
		return next.admitted.isRight();
	}

	#meter(customer: string): Meter {
		return this.#meters.get(customer) ?? fullMeter(0);
	}

	#ledger(customer: string): Ledger {
		const ledger = this.#ledgers.get(customer) ?? new Ledger(defaultLoanTerms);
		this.#ledgers.set(customer, ledger);
		return ledger;
	}

	#loan(customer: string): Loan {
		return (
			this.#loans.get(customer) ??
			initialLoan(-defaultLoanTerms.promiseMs, defaultLoanTerms)
		);
	}

	#submit(req: Req): void {
		const {customer, weight} = req.contract;
		const poolRequest = {
			service: this.#service,
			candidates: this.#servers,
			keyed: false,
			customer,
			weight,
			deadlineAt: req.deadlineAt,
			avoid: req.tries.map(({backendServer}) => backendServer),
		};
		this.#carryOut(this.#pool.submit(poolRequest, req, this.events.now));
	}

	#carryOut(decisions: ReadonlyArray<Decision<Req>>): void {
		for (const decision of decisions) {
			const req = decision.mark;
			if (decision.kind === 'picked') {
				this.#send(req, decision.server.backendServer);
			} else if (req.outstanding === 0) {
				this.#finish(req, 'shed');
			}
		}
	}

	#send(req: Req, backendServer: string): void {
		const {now} = this.events;
		if (req.over) {
			this.#done(backendServer, 'cancelled', 0);
			return;
		}

		const {model, oneWayMs} = this.options.links.get(backendServer)!;
		const each: Try = {backendServer, sentAt: now, cancel: () => undefined};
		req.tries = [...req.tries, each];
		req.outstanding++;
		this.events.after(oneWayMs + this.#openMs(backendServer), () => {
			each.cancel = model.take((kind) => {
				this.events.after(oneWayMs, () => {
					this.#ended(req, each, kind);
				});
			});
		});
		this.#planHedge(req);
	}

	#planHedge(req: Req): void {
		const delay = this.#hedge.delay();
		if (delay === undefined || req.tries.length > 1 || req.retries > 0) {
			return;
		}

		this.events.after(delay, () => {
			if (!req.over && req.tries.length === 1 && this.#hedge.spend()) {
				this.hedges++;
				this.#submit(req);
			}
		});
	}

	#ended(req: Req, each: Try, kind: OutcomeKind): void {
		const latencyMs = this.events.now - each.sentAt;
		req.outstanding--;
		this.#done(each.backendServer, kind, latencyMs);
		if (req.over) {
			return;
		}

		if (kind === 'ran') {
			this.#hedge.addSample(latencyMs);
			this.#finish(req, 'answered');
			for (const other of req.tries) {
				if (other !== each) {
					other.cancel();
				}
			}

			return;
		}

		if (req.outstanding > 0) {
			return;
		}

		if (req.retries < maxRetries && this.events.now < req.deadlineAt) {
			req.retries++;
			this.retries++;
			this.#submit(req);
			return;
		}

		this.#finish(req, 'failed');
	}

	#done(backendServer: string, kind: OutcomeKind, latencyMs: Millis): void {
		const outcome = {kind, latencyMs};
		this.#carryOut(this.#pool.done(backendServer, outcome, this.events.now));
	}

	#finish(req: Req, end: End): void {
		if (req.over) {
			return;
		}

		req.over = true;
		if (this.options.variant.whole && end !== 'over-limit') {
			const {customer} = req.contract;
			this.#meters.set(customer, released(this.#meter(customer)));
		}

		req.end(end);
	}

	#openMs(backendServer: string): Millis {
		const {inFlight} = this.gauges.get(backendServer);
		const opened = this.#opened.get(backendServer) ?? 0;
		if (inFlight <= opened) {
			return 0;
		}

		this.#opened.set(backendServer, inFlight);
		return this.options.openMs;
	}
}
