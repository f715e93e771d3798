/** Which backend server gets a request's next sending, or why none does. */
import {
	isHeldBy,
	rangeOf,
	ServerLoads,
	type Clock,
	type ListedServer,
	type Millis,
	type Random,
	type RoutedService,
} from '@kingcuproute/core';
import {Left, Right, type Either} from 'purify-ts';
import {inject, singleton} from 'tsyringe';
import {type RequestEnd} from './request-end.js';
import {ViewTask} from './view-task.js';

/** A request as far as its server depends on it. */
export type Wanted = {
	readonly service: RoutedService;
	/** The key, for a service divided by key. */
	readonly key: number | undefined;
	/** Servers that have had the request. */
	readonly tried: readonly string[];
	/** The server at which the last sending failed, and when. */
	readonly failed: {readonly by: string; readonly at: Millis} | undefined;
};

/** About one run of the shortest requests: a slot is likely to be free by then. */
const overloadedRetryMs = 300;
/** A holder that declined or lost a request is asked again after this: keys change hands in less, and a slot is likely to be free. */
const ownerAgainMs: Millis = 250;
/** About the time in which keys change hands. */
const noOwnerRetryMs = 500;

@singleton()
export class ServerPicks {
	readonly loads: ServerLoads;

	constructor(
		@inject(ViewTask) private readonly view: ViewTask,
		@inject('Clock') private readonly clock: Clock,
		@inject('Random') random: Random,
	) {
		this.loads = new ServerLoads(random);
		view.view.subscribe(({servers = []}) => {
			this.loads.keep(new Set(servers.map(({backendServer}) => backendServer)));
		});
	}

	/** By which fence a key is held, as this daemon knows it. */
	fence(service: string, key: number | undefined): number | undefined {
		const table = this.view.view.value.rangeTables.get(service);
		return table && key !== undefined ? rangeOf(table, key)?.fence : undefined;
	}

	pick(wanted: Wanted): Either<RequestEnd, ListedServer> {
		return wanted.service.keyed ? this.#owner(wanted) : this.#any(wanted);
	}

	#owner({service, key, failed}: Wanted): Either<RequestEnd, ListedServer> {
		const table = this.view.view.value.rangeTables.get(service.service);
		if (key === undefined) {
			return Left({reason: 'bad-request', notRun: true});
		}

		const range = table && rangeOf(table, key);
		const owner = this.#serving(service).find(
			(server) => range && isHeldBy(range, server),
		);
		const isAskedAgain =
			owner?.backendServer === failed?.by &&
			this.clock.now() - (failed?.at ?? 0) < ownerAgainMs;
		if (!owner || isAskedAgain) {
			return Left({
				reason: 'no-owner',
				notRun: true,
				retryAfterMs: noOwnerRetryMs,
			});
		}

		return this.#admit(service, [owner]);
	}

	#any({service, tried}: Wanted): Either<RequestEnd, ListedServer> {
		const serving = this.#serving(service).filter(
			({backendServer}) => !tried.includes(backendServer),
		);
		if (serving.length === 0) {
			const reason = tried.length > 0 ? 'declined' : 'no-server';
			return Left({reason, notRun: true, retryAfterMs: overloadedRetryMs});
		}

		const warm = serving.filter(({coldMs}) => coldMs === 0);
		return this.#admit(service, warm.length > 0 ? warm : serving);
	}

	/** Cold servers bear a few requests a second from all daemons together. */
	#admit(
		{coldRate}: RoutedService,
		candidates: readonly ListedServer[],
	): Either<RequestEnd, ListedServer> {
		const now = this.clock.now();
		const rate = coldRate / this.view.view.value.daemons;
		const server = this.loads.choose(candidates, now);
		const isBorne =
			server &&
			(server.coldMs === 0 ||
				this.loads.takeCold(server.backendServer, rate, now));
		return isBorne
			? Right(server)
			: Left({
					reason: 'overloaded',
					notRun: true,
					retryAfterMs: overloadedRetryMs,
				});
	}

	#serving({service}: RoutedService): readonly ListedServer[] {
		return this.view.view.value.inService.get(service) ?? [];
	}
}
