/** The situation that a plan starts from, out of what this daemon holds and has heard. */
import {
	placementPolicy,
	type Millis,
	type Service,
	type Situation,
	type View,
} from '@kingcuproute/core';
import {type Member} from '../fleet/identity.js';
import {type Settings} from '../settings/settings.js';
import {reportInterval} from './report-interval.js';
import {type Reports} from './reports.js';

/** Where the situation is taken from. */
export type SituationSources = {
	readonly view: View;
	readonly members: readonly Member[];
	readonly recent: ReadonlySet<string>;
	/** Daemon runs that the fleet has proved to be gone. */
	readonly gone: ReadonlySet<string>;
	/** VMs listed as leaving: their daemons are not to guard, as if out of service. */
	readonly leavingVms: ReadonlySet<string>;
	/** Backend servers that say they are draining: they are left as if out of service. */
	readonly draining: readonly string[];
	readonly reports: Reports;
	readonly placement: Settings['placement'];
	readonly now: Millis;
	readonly writer: string;
};

const staleAfterReports = 3;

export function situationOf(
	service: Service,
	sources: SituationSources,
): Situation {
	const {view, members, recent, gone, leavingVms, draining} = sources;
	const {reports, placement, now, writer} = sources;
	const {service: name} = service;
	const table = view.get('table', name);
	const vms = [
		...view.all('vm'),
		...[...leavingVms].map((vm) => ({vm, out: true})),
	];
	const {startShare, stopShare, movesPerSecond, moveBurst, hotRows} = placement;
	return {
		service,
		table,
		servers: view
			.all('backend-server')
			.filter((server) => server.service === name)
			.map((server) => ({
				...server,
				out: server.out || draining.includes(server.backendServer),
			})),
		down: reports.down(
			table?.guards ?? {},
			now,
			reportInterval(placement.reportMs, members.length) * staleAfterReports,
		),
		capacities: new Map(),
		failureDomains: view.all('failure-domain'),
		vms,
		daemons: members,
		recent,
		gone,
		guardsElsewhere: guardsElsewhere(view, name),
		loads: reports.loads(now),
		keys: reports.keys(now),
		measured: reports.isWarm(now),
		now,
		writer,
		policy: {
			...placementPolicy,
			startShare,
			stopShare,
			movesPerSecond,
			moveBurst,
			hotRows,
		},
	};
}

/** Servers that each daemon guards in the tables of other services. */
function guardsElsewhere(
	view: View,
	service: string,
): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (const table of view.all('table')) {
		if (table.service !== service) {
			for (const {guardian} of Object.values(table.guards)) {
				counts.set(guardian, (counts.get(guardian) ?? 0) + 1);
			}
		}
	}

	return counts;
}
