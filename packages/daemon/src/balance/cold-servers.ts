/**
 * Finds out with the other callers of a server that it is cold although it doesn't
 * say so. Each tells what its answers looked like to the server's home, one of its
 * callers by rendezvous hash, which tells all of them what it concludes. A daemon
 * whose home can't be reached judges for itself, and so does each where a server has
 * more callers than one daemon should tell.
 */
import {
	ColdJudge,
	rendezvous,
	type BalancePolicy,
	type Clock,
	type ColdVerdict,
	type Evidence,
	type Millis,
} from '@kingcuproute/core';
import {
	judgeCold,
	reportSlowness,
	type EvidenceMessage,
	type Mesh,
	type VerdictMessage,
} from '@kingcuproute/mesh';
import {type Identity} from '../fleet/identity.js';
import {type MembershipTask} from '../fleet/membership-task.js';

const callMs: Millis = 500;
const maxCallers = 64;

/** Does what was concluded of a server. */
export type OnVerdict = (service: string, verdict: ColdVerdict) => void;

/** What is needed of the daemon. */
export type ColdServersOptions = {
	readonly mesh: Mesh;
	readonly membership: MembershipTask;
	readonly self: Identity;
	readonly clock: Clock;
	readonly policy: BalancePolicy;
	readonly onVerdict: OnVerdict;
};

export class ColdServers {
	readonly #judge: ColdJudge;
	/** Callers of each server by service, this daemon included. */
	readonly #callers = new Map<string, ReadonlyMap<string, readonly string[]>>();

	constructor(private readonly options: ColdServersOptions) {
		this.#judge = new ColdJudge(options.policy);
		options.mesh.serve(reportSlowness, (report) => ({
			taken: this.#hear(report),
		}));
		options.mesh.serve(judgeCold, (message) => {
			this.#conclude(message);
			return {};
		});
	}

	/** The callers of the servers of a service from now on. */
	setCallers(
		service: string,
		callers: ReadonlyMap<string, readonly string[]>,
	): void {
		this.#callers.set(service, callers);
		const servers = [...this.#callers.values()].flatMap((each) => [
			...each.keys(),
		]);
		this.#judge.keep(new Set(servers));
	}

	/** Tells a server's home what its answers looked like. */
	async report(service: string, evidence: Evidence): Promise<void> {
		const {mesh, membership, self} = this.options;
		const home = this.#home(service, evidence.backendServer);
		const member = membership.members.value.find(({id}) => id === home);
		if (home === self.id) {
			this.#judgeForAll(service, evidence);
			return;
		}

		const report = {service, ...evidence};
		const answer = member
			? await mesh.call(member.address, reportSlowness, report, callMs)
			: undefined;
		const taken = answer?.toMaybe().extract()?.taken ?? false;
		if (!taken) {
			this.#judgeForSelf(service, evidence);
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

	/** As the home of a server: takes evidence of a caller in, if it calls the server itself. */
	#hear({service, backendServer, score}: EvidenceMessage): boolean {
		const name = service ?? '';
		const server = backendServer ?? '';
		if (this.#callersOf(name, server).length === 0) {
			return false;
		}

		this.#judgeForAll(name, {backendServer: server, score: score ?? 0});
		return true;
	}

	#judgeForAll(service: string, evidence: Evidence): void {
		const verdict = this.#judgeForSelf(service, evidence);
		const callers = this.#callersOf(service, evidence.backendServer);
		if (!verdict || callers.length > maxCallers) {
			return;
		}

		const {mesh, membership, self} = this.options;
		const told = new Set(callers);
		for (const {id, address} of membership.members.value) {
			if (id !== self.id && told.has(id)) {
				void mesh.call(address, judgeCold, {service, ...verdict}, callMs);
			}
		}
	}

	#judgeForSelf(service: string, evidence: Evidence): ColdVerdict | undefined {
		const verdict = this.#judge.hear(evidence, this.options.clock.now());
		if (verdict) {
			this.options.onVerdict(service, verdict);
		}

		return verdict;
	}

	#conclude({service, backendServer, kind}: VerdictMessage): void {
		if (kind === 'cold' || kind === 'recovered') {
			const verdict: ColdVerdict = {kind, backendServer: backendServer ?? ''};
			this.options.onVerdict(service ?? '', verdict);
		}
	}
}
