/** Situations for the placement tests, and a minimal model of what guardians do with a table. */
import fc from 'fast-check';
import {
	applyHotChange,
	hotChanges,
	initialPlannerState,
	defaultPlacementPolicy,
	plan,
	type BackendServer,
	type Change,
	type DaemonRun,
	type PlannerState,
	type Situation,
	type SliceTable,
} from '../../src/index.js';

const intervalMs = 500;

export function server(
	name: string,
	failureDomain: string,
	out = false,
): BackendServer {
	return {
		backendServer: name,
		service: 'ticket-desk',
		failureDomain,
		address: '127.0.0.1:1',
		out,
	};
}

export function daemon(vm: string, failureDomain: string): DaemonRun {
	return {id: `${vm}.1`, vm, failureDomain};
}

/** Makes `count` items from names and failure domains, distributed over `domains` domains in turn. */
export function overDomains<T>(
	count: number,
	domains: number,
	make: (name: string, domain: string) => T,
	prefix: string,
): readonly T[] {
	return Array.from({length: count}, (_, index) =>
		make(`${prefix}-${index}`, `fd-${index % domains}`),
	);
}

export function situation(more: Partial<Situation> = {}): Situation {
	const daemons = more.daemons ?? overDomains(6, 4, daemon, 'vm');
	return {
		service: {
			service: 'ticket-desk',
			slices: 64,
			slots: 3,
			connections: 130,
			checksFence: true,
			deadlineMs: 5000,
			slowStartMs: 0,
		},
		table: undefined,
		servers: overDomains(8, 4, server, 'desk'),
		down: new Set(),
		capacities: new Map(),
		failureDomains: [],
		vms: [],
		daemons,
		recent: new Set(daemons.map(({id}) => id)),
		gone: new Set(),
		guardsElsewhere: new Map(),
		loads: new Map(),
		keys: new Map(),
		measured: true,
		now: 0,
		writer: 'vm-0.1',
		policy: defaultPlacementPolicy,
		...more,
	};
}

/** The table after guardians have carried out its planned moves and handovers. */
export function carryOut(
	table: SliceTable,
	down: ReadonlySet<string> = new Set(),
): SliceTable {
	const rows = table.rows.map((row) => {
		const {to, ...rest} = row;
		return to === undefined || down.has(row.owner)
			? row
			: {
					...rest,
					owner: to,
					epoch: row.epoch + 1,
					standby: row.standby === to ? row.owner : row.standby,
				};
	});
	const guards = Object.fromEntries(
		Object.entries(table.guards).map(([name, {next, ...guard}]) => [
			name,
			{
				...guard,
				...next,
				term: guard.term + (next ? 1 : 0),
				incarnation: 'run',
			},
		]),
	);
	return withHotChanges({...table, rows, guards}, down);
}

/** The table after the guardians of servers that are not down have assigned and released the rows of hot keys. */
function withHotChanges(
	table: SliceTable,
	down: ReadonlySet<string>,
): SliceTable {
	const up = Object.keys(table.guards).filter((name) => !down.has(name));
	let next = table;
	for (const server of up) {
		// Each change increments an epoch that the next change must contain.
		for (;;) {
			const [change] = hotChanges(next, server);
			if (!change) {
				break;
			}

			next = applyHotChange(next, server, change)!;
		}
	}

	return next;
}

/** A table that needs no more changes, and the changes that led to it. */
export type Settled = {
	readonly table: SliceTable;
	readonly changes: readonly Change[];
	readonly rounds: number;
	readonly state: PlannerState;
};

const maxRounds = 400;

/** Plans and carries out changes in turn until none are left; throws if the planner does not converge. */
export function settle(from: Situation): Settled {
	let {table, now} = from;
	let state = initialPlannerState(now);
	const changes: Change[] = [];
	let quiet = 0;
	for (let rounds = 0; rounds < maxRounds; rounds++) {
		const next = plan({...from, table, now}, state);
		state = next.state;
		changes.push(...next.changes);
		quiet = next.table ? 0 : quiet + 1;
		table = next.table ? carryOut(next.table, from.down) : table;
		now += intervalMs;
		if (quiet > 3 && table) {
			return {table, changes, rounds, state};
		}
	}

	throw new Error('the planner does not converge');
}

/** Load per server under `table`, with the given loads by slice. */
export function loadOf(
	table: SliceTable,
	loads: ReadonlyMap<number, number>,
): ReadonlyMap<string, number> {
	const sums = new Map<string, number>();
	for (const [slice, {owner}] of table.rows.entries()) {
		sums.set(owner, (sums.get(owner) ?? 0) + (loads.get(slice) ?? 0));
	}

	return sums;
}

const randomLoads = fc.array(fc.double({min: 0, max: 10_000, noNaN: true}), {
	minLength: 64,
	maxLength: 64,
});

/** Fleets of 2 to 12 servers and 1 to 6 daemons in 1 to 4 failure domains, with arbitrary loads. */
export const situations: fc.Arbitrary<Situation> = fc
	.record({
		servers: fc.integer({min: 2, max: 12}),
		domains: fc.integer({min: 1, max: 4}),
		daemons: fc.integer({min: 1, max: 6}),
		loads: fc.option(randomLoads, {nil: undefined}),
	})
	.map((size) =>
		situation({
			servers: overDomains(size.servers, size.domains, server, 'desk'),
			daemons: overDomains(size.daemons, size.domains, daemon, 'vm'),
			loads: new Map(size.loads?.entries() ?? []),
		}),
	);

/** Disruptions of a fleet: servers, domains and VMs out, servers down, daemons lost. */
export const disruptions = fc.record({
	serversOut: fc.subarray(
		Array.from({length: 12}, (_, index) => `desk-${index}`),
		{maxLength: 4},
	),
	down: fc.subarray(['desk-0', 'desk-1', 'desk-5'], {maxLength: 1}),
	domainOut: fc.option(fc.constantFrom('fd-0', 'fd-1'), {nil: undefined}),
	vmsOut: fc.subarray(['vm-0', 'vm-1', 'vm-2']),
	lost: fc.subarray(['vm-3.1', 'vm-4.1', 'vm-5.1']),
});

export type Disruption =
	typeof disruptions extends fc.Arbitrary<infer T> ? T : never;

/** The situation after the disruption. */
export function afterDisruption(
	from: Situation,
	disruption: Disruption,
): Situation {
	const {serversOut, domainOut, vmsOut, lost} = disruption;
	const daemons = from.daemons.filter(({id}) => !lost.includes(id));
	return {
		...from,
		servers: from.servers.map((other) => ({
			...other,
			out: serversOut.includes(other.backendServer),
		})),
		down: new Set(disruption.down),
		failureDomains: domainOut
			? [{failureDomain: domainOut, region: 'main', out: true}]
			: [],
		vms: vmsOut.map((vm) => ({vm, out: true})),
		daemons,
		recent: new Set(daemons.map(({id}) => id)),
	};
}

/** Number of runs of each property test. */
export const runs = {numRuns: 150};

export function isFit(
	{servers, down, failureDomains}: Situation,
	name: string,
) {
	const known = servers.find(({backendServer}) => backendServer === name);
	const domain = failureDomains.find(
		({failureDomain}) => failureDomain === known?.failureDomain,
	);
	return known !== undefined && !known.out && !domain?.out && !down.has(name);
}

export function domainOf(
	{servers}: Situation,
	name: string,
): string | undefined {
	return servers.find(({backendServer}) => backendServer === name)
		?.failureDomain;
}
