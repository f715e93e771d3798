/**
 * How many requests a second a backend server answers within their target latency. A slow
 * server needs most of that time to run a request, so that little of it is left to wait in:
 * at the same utilisation as a fast server, many more of its answers are late.
 */
import {type Millis} from '../time/clock.js';
import {median} from '../balance/median.js';
import {type KeyTraffic} from './key-traffic.js';
import {type ListedServer} from './listed-server.js';

/**
 * The shares of late answers on which rates are based. The first one that leaves the service
 * some capacity counts: if the rates sum up to less than the traffic, they would leave
 * slow servers idle while fast ones are overloaded.
 */
const lateShares = [0.05, 0.2, 0.5];
/** The load by such rates up to which a service has capacity left. */
const fullLoad = 0.9;
/** Run times are limited to the median times or divided by this: servers differ less in speed, so more is a wrong reading. */
const maxRunTimeRatio = 6;
/**
 * A run time that rests on few answers is taken for nearer to the median, as if this many of
 * the median had been among them: of many servers, some have had only short requests, and
 * would pass for several times as fast as they are.
 */
const medianReadings = 4;
/** Least share of its throughput that counts as a server's rate, so that a slow server still gets some keys. */
const minRateShare = 0.1;
/** Steps of the bisection: a precision of a thousandth. */
const bisections = 10;
const secondMs: Millis = 1000;

/** Requests a second that each of `servers` answers in time, by server; undefined if no run time is known. Without `targetMs`, its throughput. */
export function timelyRates(
	servers: readonly ListedServer[],
	{rates, runMs, readings}: KeyTraffic,
	targetMs: Millis = Infinity,
): ReadonlyMap<string, number> | undefined {
	const known = [...runMs.values()].filter(
		(ms) => ms > 0 && Number.isFinite(ms),
	);
	const medianMs = median(known);
	if (medianMs === undefined) {
		return undefined;
	}

	const runTimes = new Map(
		servers.map(({backendServer}) => [
			backendServer,
			likelyRunMs(
				plausibleRunMs(runMs.get(backendServer), medianMs),
				medianMs,
				readings?.get(backendServer),
			),
		]),
	);
	const ratesFor = (lateShare: number) =>
		new Map(
			servers.map(({backendServer, slots}) => [
				backendServer,
				timelyRate({
					slots,
					runMs: runTimes.get(backendServer)!,
					targetMs,
					lateShare,
				}),
			]),
		);
	const demand = sum(rates.values());
	for (const lateShare of targetMs === Infinity ? [] : lateShares) {
		const timely = ratesFor(lateShare);
		if (demand <= sum(timely.values()) * fullLoad) {
			return timely;
		}
	}

	return ratesFor(1);
}

type Queue = {
	readonly slots: number;
	readonly runMs: Millis;
	readonly targetMs: Millis;
	/** The largest share of answers that may be late; at 1, the rate is the throughput. */
	readonly lateShare: number;
};

/** The rate at which `lateShare` of the answers are late, with the waiting times of an M/M/c queue. */
export function timelyRate({slots, runMs, targetMs, lateShare}: Queue): number {
	const throughput = (slots * secondMs) / runMs;
	if (lateShare >= 1) {
		return throughput;
	}

	const waitMs = targetMs - runMs;
	const isTimely = (utilisation: number) =>
		waitMs > 0 &&
		waitShare(slots, utilisation) *
			Math.exp((-throughput * (1 - utilisation) * waitMs) / secondMs) <=
			lateShare;
	let low = minRateShare;
	let high = 1;
	for (let step = 0; step < bisections; step++) {
		const middle = (low + high) / 2;
		if (isTimely(middle)) {
			low = middle;
		} else {
			high = middle;
		}
	}

	return low * throughput;
}

/** The share of requests that find all slots busy (Erlang C). */
function waitShare(slots: number, utilisation: number): number {
	const offered = slots * utilisation;
	let blocked = 1;
	for (let slot = 1; slot <= slots; slot++) {
		blocked = (offered * blocked) / (slot + offered * blocked);
	}

	return blocked / (1 - utilisation * (1 - blocked));
}

function likelyRunMs(
	runMs: Millis,
	medianMs: Millis,
	readings = Infinity,
): Millis {
	return readings === Infinity
		? runMs
		: (readings * runMs + medianReadings * medianMs) /
				(readings + medianReadings);
}

function plausibleRunMs(runMs: Millis | undefined, medianMs: Millis): Millis {
	return runMs !== undefined && runMs > 0
		? Math.min(
				medianMs * maxRunTimeRatio,
				Math.max(medianMs / maxRunTimeRatio, runMs),
			)
		: medianMs;
}

function sum(values: Iterable<number>): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
