/**
 * When a daemon reports its key traffic to the keepers. Answers the load that steady
 * traffic puts on the store: every report is a priced write, and a keeper plans nothing
 * new from one that repeats the last. So a report that chance explains is repeated rarely,
 * and one that shows a change, like a flood on one key, is sent at the next occasion.
 */
import {type Millis} from '../time/clock.js';
import {maxKey} from './key-range.js';
import {
	maxReportedKeys,
	trafficDecayMs,
	trafficWindowMs,
} from './key-traffic.js';

/** Requests a second, by service and key. */
export type ServiceRates = ReadonlyMap<string, ReadonlyMap<number, number>>;

export type SentReport = {
	readonly rates: ServiceRates;
	readonly at: Millis;
};

/** Daemons above which reports get rarer: the keeper then hears of new traffic from others in the meantime. */
const manyDaemons = 20;
const minReportMs: Millis = 1000;
/** No longer than the window, so that every request is reported. */
const maxReportMs: Millis = trafficWindowMs;
/** Between two reports of steady traffic: how long a keeper may take to learn of slow changes. */
const steadyReportMs: Millis = 4000;
/** The longest time that an occasion may be late by jitter, as a multiple of the interval. */
const maxJitter = 1.5;
/** Allows for a report that is lost and for the call that writes it. */
const expirySlackMs: Millis = 1500;
const secondMs: Millis = 1000;

/** Differences beyond this many standard deviations are not put down to chance. */
const significance = 3;
/** Hot keys may be a hundred adjacent ones, none of which a single daemon sees twice; it sees their group. */
const groupLen = 256;

/** Between two occasions for a daemon to report; `writesPerS` is the most that the reports of all daemons may write. */
export function reportIntervalMs(daemons: number, writesPerS: number): Millis {
	const wantedMs = (daemons / manyDaemons) * minReportMs;
	const fittingMs = Math.min(maxReportMs, Math.max(minReportMs, wantedMs));
	return Math.max(fittingMs, (daemons / writesPerS) * secondMs);
}

/** The age from which a report counts no more: its daemon has ended or sees no requests. */
export function reportExpiryMs(daemons: number, writesPerS: number): Millis {
	const intervalMs = reportIntervalMs(daemons, writesPerS);
	return steadyReportMs + maxJitter * intervalMs + expirySlackMs;
}

/** Whether to report `rates` now that an occasion has come. */
export function isReportDue(
	last: SentReport | undefined,
	rates: ServiceRates,
	now: Millis,
): boolean {
	return (
		!last ||
		now - last.at >= steadyReportMs ||
		rates.size !== last.rates.size ||
		[...rates].some(([service, current]) =>
			haveChanged(last.rates.get(service) ?? new Map(), current),
		)
	);
}

/** Whether the rate of a key, of a group of adjacent keys or of all together differs by more than chance explains. */
function haveChanged(
	before: ReadonlyMap<number, number>,
	after: ReadonlyMap<number, number>,
): boolean {
	const unit = Math.max(chanceUnit(before), chanceUnit(after));
	const differ = (a = 0, b = 0) =>
		Math.abs(a - b) > significance * Math.sqrt(unit * (a + b)) + unit;
	return [1, groupLen, maxKey + 1].some((len) => {
		const [earlier, later] = [before, after].map((rates) =>
			groupRates(rates, len),
		);
		const groups = new Set([...earlier.keys(), ...later.keys()]);
		return [...groups].some((group) =>
			differ(earlier.get(group), later.get(group)),
		);
	});
}

/** A rate estimated from random requests has the variance of rate times this. */
function chanceUnit(rates: ReadonlyMap<number, number>): number {
	// A sampled report gives its least busy keys one same rate, above that of one request.
	return rates.size < maxReportedKeys
		? secondMs / (2 * trafficDecayMs)
		: Math.min(...rates.values());
}

/** The rates of all keys in each group of `len` adjacent ones. */
function groupRates(
	rates: ReadonlyMap<number, number>,
	len: number,
): ReadonlyMap<number, number> {
	const groups = new Map<number, number>();
	for (const [key, rate] of rates) {
		const group = Math.floor(key / len);
		groups.set(group, (groups.get(group) ?? 0) + rate);
	}

	return groups;
}
