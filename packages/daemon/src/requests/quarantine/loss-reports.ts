/** Reports requests lost at a server to the judge; those lost within `gatherMs` go into one report. */
import {type BackendServer, type Clock, type Millis} from '@kingcuproute/core';
import {type Judging} from './judging.js';

const gatherMs: Millis = 5;
const maxReported = 1000;

type Report = {
	readonly fingerprints: Set<string>;
	readonly delivered: Promise<void>;
};

export class LossReports {
	/** Reports still being gathered, by server. */
	readonly #open = new Map<string, Report>();

	constructor(
		private readonly judging: Judging,
		private readonly clock: Clock,
	) {}

	/**
	 * Adds a lost request to the report on its server. Resolves once all daemons hold
	 * back the requests that had been lost before, or the judge cannot be reached.
	 */
	async add(fingerprint: string, server: BackendServer): Promise<void> {
		const {backendServer} = server;
		const report = this.#open.get(backendServer) ?? this.#newReport(server);
		this.#open.set(backendServer, report);
		report.fingerprints.add(fingerprint);
		return report.delivered;
	}

	#newReport(server: BackendServer): Report {
		const fingerprints = new Set<string>();
		return {fingerprints, delivered: this.#send(server, fingerprints)};
	}

	async #send(
		{backendServer, service}: BackendServer,
		fingerprints: ReadonlySet<string>,
	): Promise<void> {
		await this.clock.sleep(gatherMs);
		this.#open.delete(backendServer);
		const lost = [...fingerprints].slice(0, maxReported);
		await this.judging.report(service, {server: backendServer, lost});
	}
}
