/** A token bucket whose rate and burst may change at any time. A change adds no tokens. */
import {type Millis} from '../time/clock.js';

const secondMs: Millis = 1000;

export type Bucket = {
	readonly tokens: number;
	readonly at: Millis;
};

/** Tokens per second, and the most tokens that the bucket holds. */
export type Flow = {readonly ratePerSecond: number; readonly burst: number};

/** The bucket refilled up to `now`. */
export function refilled(bucket: Bucket, flow: Flow, now: Millis): Bucket {
	const elapsedSeconds = Math.max(0, now - bucket.at) / secondMs;
	const tokens = Math.min(
		flow.burst,
		bucket.tokens + elapsedSeconds * flow.ratePerSecond,
	);
	return {tokens, at: Math.max(now, bucket.at)};
}

/** The time until the bucket holds a whole token, in ms; infinite at a rate of 0. */
export function untilToken({tokens}: Bucket, {ratePerSecond}: Flow): Millis {
	return tokens >= 1 ? 0 : ((1 - tokens) / ratePerSecond) * secondMs;
}
