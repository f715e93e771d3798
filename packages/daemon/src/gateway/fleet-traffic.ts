/** Traffic per service, added up over the reports of all daemons. Keepers read it to plan moves. */
import {
	fold,
	totalTraffic,
	type Clock,
	type KeyTraffic,
	type Millis,
} from '@kingcuproute/core';
import {
	keyTrafficKind,
	parseKeyTraffic,
	errorText,
	type ObjectStore,
	type StoredObject,
} from '@kingcuproute/platform';
import {type Log} from '../log/log.js';

type Report = {
	readonly revision: number;
	readonly changedAt: Millis;
	readonly services: ReadonlyMap<string, KeyTraffic>;
};

export class FleetTraffic {
	#reports: ReadonlyMap<string, Report> = new Map();
	/** The totals by service since the last read, because keepers ask for them more often than there are new reports. */
	readonly #totals = new Map<string, KeyTraffic>();

	constructor(
		private readonly store: ObjectStore,
		private readonly clock: Clock,
		private readonly log: Log,
		/** The age from which a report that has not changed counts no more. */
		private readonly expiryMs: () => Millis,
	) {}

	/** The total traffic of a service, without reports that were outdated at the last read; the same object until the next one. */
	of(service: string): KeyTraffic {
		const total = this.#totals.get(service) ?? this.#total(service);
		this.#totals.set(service, total);
		return total;
	}

	/** Reads the reports of all daemons from the store. On failure the former ones stay. */
	async read(): Promise<void> {
		const listing = await this.store.list(keyTrafficKind);
		this.#totals.clear();
		fold(
			listing,
			(error) => {
				this.log.info('traffic-not-read', {error: errorText(error)});
			},
			({objects}) => {
				this.#reports = new Map(
					objects.map((object) => [object.name, this.#parseReport(object)]),
				);
			},
		);
	}

	#total(service: string): KeyTraffic {
		const now = this.clock.now();
		const expiryMs = this.expiryMs();
		const parts = [...this.#reports.values()]
			.filter(({changedAt}) => now - changedAt < expiryMs)
			.flatMap(({services}) => services.get(service) ?? []);
		return totalTraffic(parts);
	}

	#parseReport({name, revision, spec}: StoredObject): Report {
		const previous = this.#reports.get(name);
		if (previous?.revision === revision) {
			return previous;
		}

		const services = fold(
			parseKeyTraffic(spec),
			([{path, message}]): ReadonlyMap<string, KeyTraffic> => {
				this.log.warn('traffic-unreadable', {name, revision, path, message});
				return new Map();
			},
			(read) => read,
		);
		return {revision, changedAt: this.clock.now(), services};
	}
}
