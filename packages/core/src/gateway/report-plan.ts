/**
 * When a daemon reports its key traffic to the keepers. Answers the load that steady
 * traffic puts on the store: every report is a priced write, and a keeper plans nothing
 * new from one that repeats the last. So a report that chance explains is repeated rarely,
 * and one that shows a change, like a flood on one key, is sent at the next occasion.
 */
import {type Millis} from '../time/clock.js';
import {trafficWindowMs} from './key-traffic.js';

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

/** Whether the rate of a key, or of all together, differs by more than chance explains. */
function haveChanged(
	before: ReadonlyMap<number, number>,
	after: ReadonlyMap<number, number>,
): boolean {
	// A sampled report gives its least busy keys one same rate, above that of one request.
	const unit = Math.min(...before.values(), ...after.values());
	const differ = (a = 0, b = 0) =>
		Math.abs(a - b) > significance * Math.sqrt(unit * (a + b)) + unit;
	const keys = new Set([...before.keys(), ...after.keys()]);
	return (
		differ(sum(before.values()), sum(after.values())) ||
		[...keys].some((key) => differ(before.get(key), after.get(key)))
	);
}

function sum(values: Iterable<number>): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
