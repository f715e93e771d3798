/**
 * Learns how long the requests of each route run once they need not wait, and how much
 * time their callers usually allow. Answers a load of several kinds of request at the
 * same servers, whose work differs up to three times and is not in the configuration.
 */
import {type Millis} from '../time/clock.js';

/** Weight of a new reading in the moving average of a route's run time. */
const newReadingWeight = 0.05;
/** Share of the target latency that a request is taken to run before its route's first answer: between an eighth and a third on present deployments. */
const guessedShare = 0.2;
/** A server's run time is taken to differ from the mean of its service at most by these factors: a single reading may contain a pause of the process. */
const minSlowness = 0.4;
const maxSlowness = 4;
/** The largest allowed time is taken from this window and the one before. */
const allowedWindowMs: Millis = 10_000;

type AllowedTimes = {
	since: Millis;
	largest: Millis;
	previous: Millis;
};

export class ExpectedWork {
	readonly #means = new Map<string, Millis>();
	readonly #allowed = new Map<string, AllowedTimes>();

	/** Records how long a request of `route` ran at a server of `service`. */
	ran(service: string, route: string, runMs: Millis): void {
		if (!Number.isFinite(runMs) || runMs <= 0) {
			return;
		}

		for (const name of [serviceKey(service), routeKey(service, route)]) {
			const mean = this.#means.get(name) ?? runMs;
			this.#means.set(name, mean + (runMs - mean) * newReadingWeight);
		}
	}

	/** How long a request of `route` runs at a server whose requests take `serverRunMs`, if that is known. */
	expectedRun(
		{service, route, targetMs}: ExpectedRoute,
		serverRunMs?: Millis,
	): Millis {
		const serviceMean = this.#means.get(serviceKey(service));
		const mean =
			this.#means.get(routeKey(service, route)) ??
			serviceMean ??
			targetMs * guessedShare;
		const slowness =
			serverRunMs === undefined || serviceMean === undefined
				? 1
				: serverRunMs / serviceMean;
		return mean * Math.min(maxSlowness, Math.max(minSlowness, slowness));
	}

	/**
	 * Records the time that a caller allows, and returns how much less that is than the
	 * route's callers usually allow at their first attempt: for a retried request, the
	 * time since its first attempt. No header marks a retried request.
	 */
	elapsed(
		{service, route}: Pick<ExpectedRoute, 'service' | 'route'>,
		allowedMs: Millis,
		now: Millis,
	): Millis {
		const key = routeKey(service, route);
		const times = this.#allowed.get(key) ?? {
			since: now,
			largest: 0,
			previous: 0,
		};
		if (now - times.since >= allowedWindowMs) {
			times.previous = times.largest;
			times.largest = 0;
			times.since = now;
		}

		times.largest = Math.max(times.largest, allowedMs);
		this.#allowed.set(key, times);
		return Math.max(times.largest, times.previous) - allowedMs;
	}

	/** Drops the data of routes and services that the configuration no longer contains. */
	keep(routes: ReadonlyArray<Pick<ExpectedRoute, 'service' | 'route'>>): void {
		const keys = new Set(
			routes.flatMap(({service, route}) => [
				serviceKey(service),
				routeKey(service, route),
			]),
		);
		for (const map of [this.#means, this.#allowed]) {
			for (const key of map.keys()) {
				if (!keys.has(key)) {
					map.delete(key);
				}
			}
		}
	}
}

export type ExpectedRoute = {
	readonly service: string;
	readonly route: string;
	readonly targetMs: Millis;
};

function serviceKey(service: string): string {
	return JSON.stringify([service]);
}

function routeKey(service: string, route: string): string {
	return JSON.stringify([service, route]);
}
