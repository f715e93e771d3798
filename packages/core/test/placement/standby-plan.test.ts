import test from 'ava';
import fc from 'fast-check';
import {
	initialPlannerState,
	plan,
	type Situation,
	type SliceTable,
} from '../../src/index.js';
import {
	afterDisruption,
	daemon,
	domainOf,
	isFit,
	runs,
	server,
	settle,
	situation,
	situations,
	overDomains,
	disruptions,
} from './fixture.js';

test('the guardian of a standby stands outside the failure domain of the owner', (t) => {
	for (let servers = 4; servers <= 12; servers++) {
		const now = situation({servers: overDomains(servers, 4, server, 'desk')});
		const {table} = settle(now);
		const domains = new Map(
			now.daemons.map(({id, failureDomain}) => [id, failureDomain]),
		);
		const lost = table.rows.filter(
			({owner, standby}) =>
				domains.get(table.guards[standby].guardian) === domainOf(now, owner),
		);
		t.is(lost.length, 0, `${servers} servers`);
	}
});

test('standbys stand in another domain, and guards use three domains, wherever the fleet allows', (t) => {
	t.notThrows(() => {
		fc.assert(
			fc.property(situations, disruptions, (start, disruption) => {
				const now = {
					...afterDisruption(start, disruption),
					table: settle(start).table,
				};
				const {table} = settle(now);
				return standbysFit(now, table) && guardsFit(now, table);
			}),
			runs,
		);
	});
});

function standbysFit(now: Situation, table: SliceTable): boolean {
	return table.rows.every(({owner, standby}) => {
		const others = now.servers.filter(
			({backendServer}) => backendServer !== owner && isFit(now, backendServer),
		);
		const apart = others.filter(
			({failureDomain}) => failureDomain !== domainOf(now, owner),
		);
		const best = apart.length > 0 ? apart : others;
		return (
			best.length === 0 ||
			now.down.has(owner) ||
			best.some(({backendServer}) => backendServer === standby)
		);
	});
}

function guardsFit(now: Situation, table: SliceTable): boolean {
	const inService = now.daemons.filter(
		({vm, failureDomain}) =>
			!now.vms.some((other) => other.vm === vm) &&
			!now.failureDomains.some(
				(other) => other.failureDomain === failureDomain,
			),
	);
	const byId = new Map(now.daemons.map((run) => [run.id, run]));
	return now.servers.every(({backendServer, failureDomain}) => {
		const {guardian, successor} = table.guards[backendServer];
		const domains = inService
			.map((run) => run.failureDomain)
			.filter((domain) => domain !== failureDomain);
		const first = byId.get(guardian);
		const second = byId.get(successor);
		return (
			!first ||
			new Set(domains).size < 2 ||
			new Set([failureDomain, first.failureDomain, second?.failureDomain])
				.size === 3
		);
	});
}

test('standbys that get too many rows from a drain are spread in the same plan', (t) => {
	const hot = new Map([30, 36, 49, 54].map((slice) => [slice, 10_000]));
	const loads = new Map(
		Array.from({length: 64}, (_, slice) => [slice, hot.get(slice) ?? 0]),
	);
	const start = situation({daemons: overDomains(2, 4, daemon, 'vm'), loads});
	const {table} = settle(start);
	const now = {
		...start,
		failureDomains: [{failureDomain: 'fd-1', region: 'main', out: true}],
		vms: [{vm: 'vm-0', out: true}],
		table,
	};
	const one = plan(now, initialPlannerState(0));
	t.deepEqual(
		plan({...now, table: one.table}, initialPlannerState(0)).changes,
		[],
	);
});
