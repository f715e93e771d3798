/**
 * One daemon's admission of one contract's requests, within its share of the limit.
 * Rate and burst are proportional to the share. But a daemon with any share at all
 * may save up one token and have one request in flight, so the fleet may exceed
 * burst and concurrency by one for each such daemon.
 */
import {Left, Right, type Either} from 'purify-ts';
import {type Contract} from '../config/contract.js';
import {type Refusal} from '../requests/refusal.js';
import {type Millis} from '../time/clock.js';
import {refilled, untilToken, type Bucket, type Flow} from './bucket.js';

export type Meter = {
	readonly bucket: Bucket;
	readonly inFlight: number;
	/** The number of requests offered since demand was last measured. */
	readonly offered: number;
	/** The most requests in flight since then, counting each refused one beside those in flight at its arrival. */
	readonly peakInFlight: number;
	/** The demand last measured, as a fraction of the limit. */
	readonly demand: number;
	readonly measuredAt: Millis;
};

const concurrencyRetryMs: Millis = 50;
const maxRetryMs: Millis = 5000;
const headroom = 1.25;
const demandDecay = 0.7;
const secondMs: Millis = 1000;

/** A meter with a full bucket. */
export function fullMeter(now: Millis): Meter {
	const bucket = {tokens: Number.POSITIVE_INFINITY, at: now};
	return {
		bucket,
		inFlight: 0,
		offered: 0,
		peakInFlight: 0,
		demand: 0,
		measuredAt: now,
	};
}

/** The meter after one more request is offered, and the request's admission; a request over the limit is refused as `over-limit`. */
export function offered(
	meter: Meter,
	contract: Contract,
	share: number,
	now: Millis,
): {readonly meter: Meter; readonly admitted: Either<Refusal, true>} {
	const flow: Flow = {
		ratePerSecond: share * contract.ratePerSecond,
		burst: share > 0 ? Math.max(1, share * contract.burst) : 0,
	};
	const maxInFlight =
		share > 0 ? Math.max(1, Math.floor(share * contract.concurrency)) : 0;
	const bucket = refilled(meter.bucket, flow, now);
	const next: Meter = {
		...meter,
		bucket,
		offered: meter.offered + 1,
		peakInFlight: Math.max(meter.peakInFlight, meter.inFlight + 1),
	};
	if (bucket.tokens < 1) {
		const waitMs = Math.min(maxRetryMs, untilToken(bucket, flow));
		return {meter: next, admitted: overLimit(contract, 'rate', waitMs)};
	}

	if (meter.inFlight >= maxInFlight) {
		const admitted = overLimit(contract, 'concurrency', concurrencyRetryMs);
		return {meter: next, admitted};
	}

	return {
		meter: {
			...next,
			bucket: {...bucket, tokens: bucket.tokens - 1},
			inFlight: meter.inFlight + 1,
		},
		admitted: Right(true),
	};
}

/** The meter after an admitted request has ended. */
export function released(meter: Meter): Meter {
	return {...meter, inFlight: Math.max(0, meter.inFlight - 1)};
}

/** The meter after measuring the demand since the last measurement, and starting the next one. */
export function demandMeasured(
	meter: Meter,
	contract: Contract,
	now: Millis,
): Meter {
	const seconds = Math.max(1, now - meter.measuredAt) / secondMs;
	const rate = (meter.offered * headroom) / seconds / contract.ratePerSecond;
	const concurrency = (meter.peakInFlight * headroom) / contract.concurrency;
	const demand = Math.max(rate, concurrency, meter.demand * demandDecay);
	return {
		...meter,
		offered: 0,
		peakInFlight: meter.inFlight,
		demand: Math.min(1, demand),
		measuredAt: now,
	};
}

/** Whether nothing is in flight and the demand last measured was at most `demand`. */
export function isUnused(meter: Meter, demand: number): boolean {
	return meter.inFlight === 0 && meter.demand <= demand;
}

function overLimit(
	{customer}: Contract,
	limit: string,
	waitMs: Millis,
): Either<Refusal, true> {
	return Left({
		reason: 'over-limit',
		ran: 'not-run',
		retryAfterMs: Math.ceil(waitMs),
		message: `${customer} is over the ${limit} of its contract`,
	});
}
