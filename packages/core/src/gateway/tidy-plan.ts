/**
 * Plans moves that keep the range table short. Keys that were hot are left behind in many
 * short ranges, each of which is renewed and read by all daemons: 40 servers had 150 ranges
 * after four spells of hot keys. A short range with hardly any requests goes to the owner of
 * the range beside it, and the two are joined with the next write of the table.
 */
import {lenOf, maxKey, ownerKeyOf, type RangeTable} from './key-range.js';
import {type KeyMove} from './key-plan.js';
import {type KeyTraffic} from './key-traffic.js';
import {type ListedServer} from './listed-server.js';
import {type LoadPlanBounds} from './load-plan.js';
import {keysIn, ratedKeysOf, totalRate} from './rated-keys.js';
import {runKeyOf} from './server-run.js';
import {timelyRates} from './timely-rate.js';

/** Ranges for each server that a table may have. */
const rangesPerServer = 2;
/** A range is short if it has less than this share of an even part of the keys. */
const shortShare = 0.5;
/** Most load that a range may add to a server. */
const maxAddedLoad = 0.03;
/** Moves in one plan: somewhat more than the ranges that hot keys leave in the time between two. */
const maxTidyMoves = 32;

/** The moves, none of which includes a key of another or of a range that takes one up; none while the table is short or no run time is known. */
export function planTidyMoves(
	{ranges}: RangeTable,
	servers: readonly ListedServer[],
	traffic: KeyTraffic,
	{targetMs, maxMovedKeys = Infinity}: LoadPlanBounds = {},
): readonly KeyMove[] {
	const capacities = timelyRates(servers, traffic, targetMs);
	if (!capacities || ranges.length <= servers.length * rangesPerServer) {
		return [];
	}

	const keys = ratedKeysOf(traffic);
	const takers = new Map(
		servers
			.filter(({coldMs}) => coldMs === 0)
			.map((server) => [runKeyOf(server), server]),
	);
	const maxLen = ((maxKey + 1) / servers.length) * shortShare;
	/** Indices of the ranges that move, and of those that take one up and stay. */
	const moving = new Set<number>();
	const staying = new Set<number>();
	const moves: KeyMove[] = [];
	let keysLeft = maxMovedKeys;
	const candidates = ranges
		.map((range, index) => ({
			range,
			index,
			rate: totalRate(keysIn(range, keys)),
		}))
		.filter(({range}) => lenOf(range) <= maxLen)
		.sort((a, b) => a.rate - b.rate || lenOf(a.range) - lenOf(b.range));
	for (const {range, index, rate} of candidates) {
		const beside = [index - 1, index + 1]
			.filter((other) => ranges[other] !== undefined && !moving.has(other))
			.sort((a, b) => lenOf(ranges[b]) - lenOf(ranges[a]));
		const isJoined = beside.some(
			(other) => ownerKeyOf(ranges[other]) === ownerKeyOf(range),
		);
		const into = beside.at(0);
		const target =
			into === undefined ? undefined : takers.get(ownerKeyOf(ranges[into]));
		const isAllowed =
			target !== undefined &&
			!isJoined &&
			!staying.has(index) &&
			lenOf(range) <= keysLeft &&
			rate <= capacities.get(target.backendServer)! * maxAddedLoad;
		if (isAllowed && moves.length < maxTidyMoves) {
			const {from, to} = range;
			moves.push({from, to, holder: range, target});
			keysLeft -= lenOf(range);
			staying.add(into!);
			moving.add(index);
		}
	}

	return moves;
}
