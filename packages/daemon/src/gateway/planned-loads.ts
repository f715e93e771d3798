/**
 * Compares the load that moves of keys were to leave at each server with the one that
 * reports show a while later, and logs both: a plan rests on rates that are a second old
 * and vary by chance.
 */
import {
	keyLoads,
	type Clock,
	type KeyLoads,
	type KeyMove,
	type KeyTraffic,
	type ListedServer,
	type Millis,
	type RangeTable,
} from '@kingcuproute/core';
import {type Log} from '../log/log.js';

/** From moves until their effect is logged: by then reports show it. */
const outcomeMs: Millis = 1000;
const maxServersLogged = 8;

export type PlannedLoadsContext = {
	readonly service: string;
	readonly clock: Clock;
	readonly log: Log;
	readonly targetMs: () => Millis | undefined;
};

type Expected = {
	readonly loads: KeyLoads;
	readonly runMs: KeyTraffic['runMs'];
	readonly takers: ReadonlySet<string>;
	readonly at: Millis;
};

export class PlannedLoads {
	#expected: Expected | undefined;

	constructor(private readonly context: PlannedLoadsContext) {}

	/** To be called with the table after `moves`. */
	expect(
		table: RangeTable,
		servers: readonly ListedServer[],
		traffic: KeyTraffic,
		moves: readonly KeyMove[],
	): void {
		const {clock, targetMs} = this.context;
		const loads = keyLoads(table, servers, traffic, targetMs());
		const takers = new Set(moves.map(({target}) => target.backendServer));
		const {runMs} = traffic;
		this.#expected = loads && {loads, runMs, takers, at: clock.now()};
	}

	/** To be called whenever the traffic is looked at. */
	observe(
		table: RangeTable,
		servers: readonly ListedServer[],
		traffic: KeyTraffic,
	): void {
		const {clock, log, service, targetMs} = this.context;
		const expected = this.#expected;
		if (!expected || clock.now() - expected.at < outcomeMs) {
			return;
		}

		this.#expected = undefined;
		const loads = keyLoads(table, servers, traffic, targetMs());
		if (!loads) {
			return;
		}

		const byLoad = [...loads].sort(([, a], [, b]) => b - a);
		const takers = byLoad.filter(([server]) => expected.takers.has(server));
		log.info('load-after-moves', {
			service,
			takers: textOf(takers, expected),
			busiest: textOf(byLoad, expected),
		});
	}
}

/** Of each server the load that was expected, the present one, and the run time that the plan went by. */
function textOf(
	loads: ReadonlyArray<readonly [string, number]>,
	{loads: expected, runMs}: Expected,
): string {
	return loads
		.slice(0, maxServersLogged)
		.map(([server, load]) => {
			const planned = (expected.get(server) ?? 0).toFixed(2);
			const ms = Math.round(runMs.get(server) ?? 0);
			return `${server}=${planned}/${load.toFixed(2)}@${ms}`;
		})
		.join(' ');
}
