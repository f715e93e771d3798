/** A fleet over four failure domains, as a situation to plan from. */
import {defaultPlacementPolicy, type Situation} from '@kingcuproute/core';

/** How large a fleet is. */
export type Size = {
	readonly servers: number;
	readonly daemons: number;
	readonly slices: number;
};

const domains = 4;

export function fleetOf(
	{servers, daemons, slices}: Size,
	loads: ReadonlyMap<number, number>,
): Situation {
	const service = 'ticket-desk';
	const running = Array.from({length: daemons}, (_, index) => ({
		id: `vm-${index}.1`,
		vm: `vm-${index}`,
		failureDomain: `fd-${index % domains}`,
	}));
	return {
		service: {
			service,
			slices,
			slots: 3,
			connections: 130,
			checksFence: true,
			deadlineMs: 5000,
			slowStartMs: 0,
		},
		table: undefined,
		servers: Array.from({length: servers}, (_, index) => ({
			backendServer: `desk-${index}`,
			service,
			failureDomain: `fd-${index % domains}`,
			address: '127.0.0.1:1',
			out: false,
		})),
		down: new Set(),
		capacities: new Map(),
		failureDomains: [],
		vms: [],
		daemons: running,
		recent: new Set(running.map(({id}) => id)),
		gone: new Set(),
		guardsElsewhere: new Map(),
		loads,
		keys: new Map(),
		measured: true,
		now: 0,
		writer: 'bench',
		policy: defaultPlacementPolicy,
	};
}
