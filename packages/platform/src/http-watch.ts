/**
 * A watch over HTTP: one long answer with a JSON line for each change and empty
 * lines as heartbeats. A watch that receives nothing for a while is ended, since
 * its connection may be dead.
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
import {tryParseHeld} from './wire.js';

const silenceMs: Millis = 3000;

/** Where to watch, from which version on, and the callback for events. */
export type WatchRequest = {
	readonly origin: string;
	readonly since: number;
	readonly onEvent: (event: WatchEvent) => void;
};

/** Opens a watch; it reports `ended` exactly once, unless it is stopped first. */
export function openWatch(
	{origin, since, onEvent}: WatchRequest,
	clock: Clock,
): StopWatch {
	const abort = new AbortController();
	const agent = new Agent({connect: {timeout: silenceMs}, bodyTimeout: 0});
	let isClosed = false;
	let lastReceived = clock.now();

	const close = () => {
		isClosed = true;
		cancelCheck();
		abort.abort();
		void agent.destroy();
	};

	const end = (error: PlatformError) => {
		if (!isClosed) {
			close();
			onEvent({kind: 'ended', error});
		}
	};

	const cancelCheck = clock.repeat(silenceMs / 3, () => {
		if (clock.now() - lastReceived > silenceMs) {
			end({kind: 'unavailable', message: `watch silent for ${silenceMs} ms`});
		}
	});

	const readEvents = async () => {
		const url = `${origin}/v1/watch?since=${since}`;
		const res = await request(url, {signal: abort.signal, dispatcher: agent});
		if (res.statusCode !== 200) {
			const kind = res.statusCode === 410 ? 'expired' : 'unavailable';
			end({kind, message: `watch: status ${res.statusCode}`});
			return;
		}

		lastReceived = clock.now();
		if (!isClosed) {
			onEvent({kind: 'opened'});
		}

		for await (const line of createInterface({input: res.body})) {
			lastReceived = clock.now();
			if (line !== '' && !isClosed) {
				onEvent(eventOf(line));
			}
		}

		end({kind: 'unavailable', message: 'watch: closed by the platform'});
	};

	const run = async () => {
		try {
			await readEvents();
		} catch (error) {
			end({kind: 'unavailable', message: `watch: ${String(error)}`});
		}
	};

	void run();
	return () => {
		if (!isClosed) {
			close();
		}
	};
}

function eventOf(line: string): WatchEvent {
	const parsed = Either.encase((): unknown => JSON.parse(line))
		.mapLeft(({message}): UnreadableObject => ({message}))
		.chain((body) => tryParseHeld(body));
	return fold(
		parsed,
		(object): WatchEvent => ({kind: 'unreadable', object}),
		(held) => ({kind: 'changed', held}),
	);
}
