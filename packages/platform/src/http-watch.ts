/**
 * A watch over HTTP: one long answer, a JSON line for each change and an empty
 * line as heartbeat. A watch on which nothing comes is ended, since the
 * connection may have gone silent for good.
 */
import {createInterface} from 'node:readline';
import {fold, type Clock, type Millis} from '@kingcuproute/core';
import {Either} from 'purify-ts';
import {Agent, request} from 'undici';
import {type PlatformError} from './platform-error.js';
import {
	type StopWatch,
	type UnreadableObject,
	type WatchEvent,
} from './platform.js';
import {readHeld} from './wire.js';

const silenceMs: Millis = 3000;

/** What to watch, and whom to tell. */
export type WatchRequest = {
	readonly origin: string;
	readonly since: number;
	readonly tell: (event: WatchEvent) => void;
};

/** Opens a watch; `ended` is told once, unless the watch is stopped first. */
export function openWatch(
	{origin, since, tell}: WatchRequest,
	clock: Clock,
): StopWatch {
	const abort = new AbortController();
	const agent = new Agent({connect: {timeout: silenceMs}, bodyTimeout: 0});
	let over = false;
	let heard = clock.now();

	const close = () => {
		over = true;
		cancelCheck();
		abort.abort();
		void agent.destroy();
	};

	const end = (error: PlatformError) => {
		if (!over) {
			close();
			tell({kind: 'ended', error});
		}
	};

	const cancelCheck = clock.repeat(silenceMs / 3, () => {
		if (clock.now() - heard > silenceMs) {
			end({kind: 'unavailable', message: `watch silent for ${silenceMs} ms`});
		}
	});

	const follow = async () => {
		const url = `${origin}/v1/watch?since=${since}`;
		const res = await request(url, {signal: abort.signal, dispatcher: agent});
		if (res.statusCode !== 200) {
			const kind = res.statusCode === 410 ? 'expired' : 'unavailable';
			end({kind, message: `watch: status ${res.statusCode}`});
			return;
		}

		heard = clock.now();
		if (!over) {
			tell({kind: 'opened'});
		}

		for await (const line of createInterface({input: res.body})) {
			heard = clock.now();
			if (line !== '' && !over) {
				tell(eventOf(line));
			}
		}

		end({kind: 'unavailable', message: 'watch: closed by the platform'});
	};

	const read = async () => {
		try {
			await follow();
		} catch (error) {
			end({kind: 'unavailable', message: `watch: ${String(error)}`});
		}
	};

	void read();
	return () => {
		if (!over) {
			close();
		}
	};
}

function eventOf(line: string): WatchEvent {
	const read = Either.encase((): unknown => JSON.parse(line))
		.mapLeft(({message}): UnreadableObject => ({message}))
		.chain((body) => readHeld(body));
	return fold(
		read,
		(object): WatchEvent => ({kind: 'unreadable', object}),
		(held) => ({kind: 'changed', held}),
	);
}
