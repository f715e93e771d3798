/** The pure work of roles that one daemon has for the whole fleet: the planner of a service and the home of a limit. */
import {
	Ledger,
	initialPlannerState,
	defaultPlacementPolicy,
	plan,
	planInParts,
	defaultLoanTerms,
	type Situation,
} from '@kingcuproute/core';
import {longestPart, time, timeOnce, type Piece} from './piece.js';

const slices = 4096;
const servers = 500;
const domainCount = 8;
const limitAsks = 20_000;
const echoAgeMs = 205;
const roundsBefore = 5;
const domainOf = (index: number) => `fd-${index % domainCount}`;

/** Measures both at one size of the fleet. */
export function measureRoles(daemons: number): readonly Piece[] {
	const from = situation(daemons);
	const state = initialPlannerState(0);
	const longestMs = longestPart(planInParts(from, state));
	const {table} = plan(from, state);
	const settled = {...from, table};
	const size = daemons;
	const askNext = limitHome(daemons);
	return [
		{
			name: 'planner: first plan of 4096 slices, 500 servers',
			size,
			ms: timeOnce(() => plan(from, state)),
		},
		{
			name: 'planner: longest part of a first plan',
			size,
			ms: longestMs,
		},
		{
			name: 'planner: plan again, nothing to do',
			size,
			ms: timeOnce(() => plan(settled, state)),
		},
		{
			name: 'limit home: take one ask with every daemon lending',
			size,
			ms: time(askNext, limitAsks),
		},
	];
}

/** Asks of one daemon after another, as often as the terms say, once each has asked often enough to lend. */
function limitHome(daemons: number): () => unknown {
	const ledger = new Ledger(defaultLoanTerms);
	let asked = 0;
	const askNext = () => {
		const now = (asked * defaultLoanTerms.askMs) / daemons;
		const index = asked++ % daemons;
		const share = 1 / daemons;
		const demand = index % 10 === 0 ? 5 * share : 0;
		const ask = {vm: `vm-${index}`, lent: share, demand, room: 0};
		return ledger.ask({...ask, echo: now - echoAgeMs}, now);
	};

	for (let before = 0; before < daemons * roundsBefore; before++) {
		askNext();
	}

	return askNext;
}

function situation(daemons: number): Situation {
	const runs = Array.from({length: daemons}, (_, index) => ({
		id: `vm-${index}.3y9vll16f`,
		vm: `vm-${index}`,
		failureDomain: domainOf(index),
	}));
	return {
		service: {
			service: 'ticket-desk',
			slices,
			slots: 3,
			connections: 130,
			checksFence: true,
			deadlineMs: 5000,
			slowStartMs: 0,
		},
		table: undefined,
		servers: Array.from({length: servers}, (_, index) => ({
			backendServer: `ticket-desk-${index}`,
			service: 'ticket-desk',
			failureDomain: domainOf(index),
			address: '10.0.0.1:8080',
			out: false,
		})),
		down: new Set(),
		capacities: new Map(),
		failureDomains: [],
		vms: [],
		daemons: runs,
		recent: new Set(runs.map(({id}) => id)),
		gone: new Set(),
		guardsElsewhere: new Map(),
		loads: new Map(),
		keys: new Map(),
		measured: true,
		now: 0,
		writer: 'vm-0.3y9vll16f',
		policy: defaultPlacementPolicy,
	};
}
