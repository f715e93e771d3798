/**
 * Detects, together with the other callers of a server, that it is cold although it
 * doesn't report so. Each caller reports how slow the server's answers were to the
 * server's home, one of the callers chosen by rendezvous hashing, which sends its
 * verdict to all of them. A daemon decides alone if it can't reach the home, or if the
 * server has more callers than one daemon should notify.
 */
import {
	ColdDetector,
	rendezvous,
	type BalancePolicy,
	type Clock,
	type ColdVerdict,
	type Evidence,
	type Millis,
} from '@kingcuproute/core';
import {
	sendVerdict,
	reportEvidence,
	type EvidenceMessage,
	type Mesh,
	type VerdictMessage,
} from '@kingcuproute/mesh';
import {type Identity} from '../fleet/identity.js';
import {type MembershipTask} from '../fleet/membership-task.js';

const callMs: Millis = 500;
/** The most callers that a home notifies; above this each caller decides alone. */
const maxCallers = 64;

/** Called with a verdict on a server. */
export type OnVerdict = (service: string, verdict: ColdVerdict) => void;

export type ColdServersOptions = {
	readonly mesh: Mesh;
	readonly membership: MembershipTask;
	readonly self: Identity;
	readonly clock: Clock;
	readonly policy: BalancePolicy;
	readonly onVerdict: OnVerdict;
};

export class ColdServers {
	readonly #detector: ColdDetector;
	/** Callers of each server by service, this daemon included. */
	readonly #callers = new Map<string, ReadonlyMap<string, readonly string[]>>();

	constructor(private readonly options: ColdServersOptions) {
		this.#detector = new ColdDetector(options.policy);
		options.mesh.serve(reportEvidence, (report) => ({
			taken: this.#receiveEvidence(report),
		}));
		options.mesh.serve(sendVerdict, (message) => {
			this.#receiveVerdict(message);
			return {};
		});
	}

	/** Replaces the callers of a service's servers, and forgets evidence on servers that have none any more. */
	setCallers(
		service: string,
		callers: ReadonlyMap<string, readonly string[]>,
	): void {
		this.#callers.set(service, callers);
		const servers = [...this.#callers.values()].flatMap((byServer) => [
			...byServer.keys(),
		]);
		this.#detector.retain(new Set(servers));
	}

	/** Reports evidence to the server's home, or judges it here if the home doesn't take it. */
	async report(service: string, evidence: Evidence): Promise<void> {
		const {mesh, membership, self} = this.options;
		const home = this.#home(service, evidence.backendServer);
		const member = membership.members.value.find(({id}) => id === home);
		if (home === self.id) {
			this.#judgeAndNotify(service, evidence);
			return;
		}

		const report = {service, ...evidence};
		const answer = member
			? await mesh.call(member.address, reportEvidence, report, callMs)
			: undefined;
		const taken = answer?.toMaybe().extract()?.taken ?? false;
		if (!taken) {
			this.#judgeLocally(service, evidence);
		}
	}

	#home(service: string, server: string): string {
		const callers = this.#callersOf(service, server);
		const {id} = this.options.self;
		return callers.length > maxCallers
			? id
			: (rendezvous(`cold-${server}`, callers)[0] ?? id);
	}

	#callersOf(service: string, server: string): readonly string[] {
		return this.#callers.get(service)?.get(server) ?? [];
	}

	/** As the server's home, takes a caller's evidence; refuses it if this daemon doesn't call the server itself. */
	#receiveEvidence({service, backendServer, score}: EvidenceMessage): boolean {
		const name = service ?? '';
		const server = backendServer ?? '';
		if (this.#callersOf(name, server).length === 0) {
			return false;
		}

		this.#judgeAndNotify(name, {backendServer: server, score: score ?? 0});
		return true;
	}

	#judgeAndNotify(service: string, evidence: Evidence): void {
		const verdict = this.#judgeLocally(service, evidence);
		const callers = this.#callersOf(service, evidence.backendServer);
		if (!verdict || callers.length > maxCallers) {
			return;
		}

		const {mesh, membership, self} = this.options;
		const notified = new Set(callers);
		for (const {id, address} of membership.members.value) {
			if (id !== self.id && notified.has(id)) {
				void mesh.call(address, sendVerdict, {service, ...verdict}, callMs);
			}
		}
	}

	#judgeLocally(service: string, evidence: Evidence): ColdVerdict | undefined {
		const verdict = this.#detector.addEvidence(
			evidence,
			this.options.clock.now(),
		);
		if (verdict) {
			this.options.onVerdict(service, verdict);
		}

		return verdict;
	}

	#receiveVerdict({service, backendServer, kind}: VerdictMessage): void {
		if (kind === 'cold' || kind === 'recovered') {
			const verdict: ColdVerdict = {kind, backendServer: backendServer ?? ''};
			this.options.onVerdict(service ?? '', verdict);
		}
	}
}
