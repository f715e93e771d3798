/**
 * Traffic per service, added up over the reports of all daemons. Keepers read it to plan
 * moves. What a daemon reported through its peers goes before what it wrote to the store.
 */
import {
	fold,
	revisionText,
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
import {type RelayedReports} from './relayed-reports.js';

/** A total is used for this long: watchers send their sums several times a second in all. */
const totalsMs: Millis = 200;

type Report = {
	readonly revision: number;
	readonly changedAt: Millis;
	readonly services: ReadonlyMap<string, KeyTraffic>;
};

export type FleetTrafficContext = {
	readonly store: ObjectStore;
	readonly clock: Clock;
	readonly log: Log;
	readonly relayed: Pick<RelayedReports, 'trafficOf' | 'keyRunTimes'>;
	/** The age from which a report in the store that has not changed counts no more. */
	readonly expiryMs: () => Millis;
};

export class FleetTraffic {
	#reports: ReadonlyMap<string, Report> = new Map();
	/** The last totals by service, because keepers ask for them more often than there are new reports. */
	readonly #totals = new Map<
		string,
		{readonly traffic: KeyTraffic; readonly at: Millis}
	>();

	constructor(private readonly context: FleetTrafficContext) {}

	/** The total traffic of a service, without outdated reports; the same object for a moment. */
	of(service: string): KeyTraffic {
		const now = this.context.clock.now();
		const known = this.#totals.get(service);
		if (known && now - known.at < totalsMs) {
			return known.traffic;
		}

		const traffic = this.#total(service, now);
		this.#totals.set(service, {traffic, at: now});
		return traffic;
	}

	/** Reads the reports of all daemons from the store. On failure the former ones stay. */
	async read(): Promise<void> {
		const listing = await this.context.store.list(keyTrafficKind);
		this.#totals.clear();
		fold(
			listing,
			(error) => {
				this.context.log.info('traffic-not-read', {error: errorText(error)});
			},
			({objects}) => {
				this.#reports = new Map(
					objects.map((object) => [object.name, this.#parseReport(object)]),
				);
			},
		);
	}

	#total(service: string, now: Millis): KeyTraffic {
		const {relayed, expiryMs} = this.context;
		const maxAgeMs = expiryMs();
		const rates = relayed.trafficOf(service);
		const stored = [...this.#reports]
			.filter(
				([vm, {changedAt}]) => !rates.has(vm) && now - changedAt < maxAgeMs,
			)
			.flatMap(([, {services}]) => services.get(service) ?? []);
		return totalTraffic([
			...stored,
			...[...rates.values()].map((part) => ({rates: part, runMs: new Map()})),
			{rates: new Map(), ...relayed.keyRunTimes(service)},
		]);
	}

	#parseReport({name, revision, spec}: StoredObject): Report {
		const previous = this.#reports.get(name);
		if (previous?.revision === revision) {
			return previous;
		}

		const services = fold(
			parseKeyTraffic(spec),
			([{path, message}]): ReadonlyMap<string, KeyTraffic> => {
				this.context.log.warn('traffic-unreadable', {
					name,
					revision: revisionText(revision),
					path,
					message,
				});
				return new Map();
			},
			(read) => read,
		);
		return {revision, changedAt: this.context.clock.now(), services};
	}
}
