/** How busy each server of a service is with the requests for the keys that it owns. */
import {type Millis} from '../time/clock.js';
import {rangesByOwner, type RangeTable} from './key-range.js';
import {type KeyTraffic} from './key-traffic.js';
import {type ListedServer} from './listed-server.js';
import {rateOf, ratedKeysOf} from './rated-keys.js';
import {runKeyOf} from './server-run.js';
import {timelyRates} from './timely-rate.js';

/** Requests a second relative to those that the server answers in time, by server; undefined if no run time is known. */
export type KeyLoads = ReadonlyMap<string, number>;

export function keyLoads(
	{ranges}: RangeTable,
	servers: readonly ListedServer[],
	traffic: KeyTraffic,
	targetMs?: Millis,
): KeyLoads | undefined {
	const capacities = timelyRates(servers, traffic, targetMs);
	if (!capacities) {
		return undefined;
	}

	const keys = ratedKeysOf(traffic);
	const byOwner = rangesByOwner(ranges);
	return new Map(
		servers.map((server) => {
			const rate = rateOf(byOwner.get(runKeyOf(server)) ?? [], keys);
			const {backendServer} = server;
			return [backendServer, rate / capacities.get(backendServer)!];
		}),
	);
}
