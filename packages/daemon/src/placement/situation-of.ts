/** Builds the situation that a plan starts from, out of this daemon's view and the reports it received. */
import {
	defaultPlacementPolicy,
	type Millis,
	type Service,
	type Situation,
	type View,
} from '@kingcuproute/core';
import {type Member} from '../fleet/identity.js';
import {type Settings} from '../settings/settings.js';
import {reportInterval} from './report-interval.js';
import {type Reports} from './reports.js';

/** What the situation is built from. */
export type SituationSources = {
	readonly view: View;
	readonly members: readonly Member[];
	readonly recent: ReadonlySet<string>;
	/** Daemon runs that are proved gone. */
	readonly gone: ReadonlySet<string>;
	/** VMs listed as leaving: treated as out of service, so that their daemons don't guard. */
	readonly leavingVms: ReadonlySet<string>;
	/** Backend servers that report draining: treated as out of service, so that their slices move away. */
	readonly draining: readonly string[];
	readonly reports: Reports;
	readonly placement: Settings['placement'];
	readonly now: Millis;
	readonly writer: string;
};

/** A report of servers that are down expires after this many report intervals. */
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
			...defaultPlacementPolicy,
			startShare,
			stopShare,
			movesPerSecond,
			moveBurst,
			hotRows,
		},
	};
}

/** How many servers each daemon guards in the tables of other services. */
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
