/** Where a request may go, computed once for each change of the configuration view. */
import {
	hotRows,
	sliceOf,
	tableInForce,
	type BackendServer,
	type Contract,
	type Refusal,
	type Service,
	type SliceTable,
	type View,
} from '@kingcuproute/core';
import {Left, Right, type Either} from 'purify-ts';

/** The fields of a request that routing reads. */
export type RequestHead = {
	readonly service: string;
	readonly customer: string;
	readonly key: string | undefined;
};

/** The servers that a request may go to; for a service divided by key, only the owner of the slice. */
export type Route = {
	readonly service: Service;
	readonly candidates: readonly BackendServer[];
	readonly slice?: number;
	readonly epoch?: number;
};

type ServiceRoutes = {
	readonly service: Service;
	/** Servers that operators have not taken out of service. */
	readonly candidates: readonly BackendServer[];
	readonly table: SliceTable | undefined;
	/** Row numbers of the hot keys, which have rows of their own. */
	readonly hot: ReadonlyMap<string, number>;
};

/** The routes of all services under one configuration view. */
export class Routing {
	static of(view: View): Routing {
		return new Routing(view);
	}

	readonly #services = new Map<string, ServiceRoutes>();

	private constructor(private readonly view: View) {
		const servers = view.all('backend-server');
		for (const service of view.all('service')) {
			const table = tableInForce(view, service.service);
			this.#services.set(service.service, {
				service,
				candidates: inService(view, service, servers),
				table,
				hot: table ? hotRows(table) : new Map(),
			});
		}
	}

	/** Whether a service of this name is configured. */
	has(service: string): boolean {
		return this.#services.has(service);
	}

	/** The customer's contract, if there is one. */
	contract(customer: string): Contract | undefined {
		return this.view.get('contract', customer);
	}

	/** Whether the service is divided by key, so that only the owner of a slice runs its requests. */
	isKeyed(service: string): boolean {
		return (this.#services.get(service)?.service.slices ?? 0) > 0;
	}

	/** The route of a request, or a refusal that says why there is none. */
	route(head: RequestHead): Either<Refusal, Route> {
		const contract = this.view.get('contract', head.customer);
		if (!contract?.services.includes(head.service)) {
			return refuse(
				'no-contract',
				`no contract of customer ${head.customer} names service ${head.service}`,
			);
		}

		const routes = this.#services.get(head.service);
		if (!routes) {
			return refuse('no-service', `no service ${head.service}`);
		}

		return routes.service.slices > 0
			? this.#keyedRoute(routes, head.key)
			: freeRoute(routes);
	}

	#keyedRoute(
		{service, table, hot}: ServiceRoutes,
		key: string | undefined,
	): Either<Refusal, Route> {
		if (!key) {
			return refuse(
				'bad-request',
				`service ${service.service} is divided by key: send x-key`,
			);
		}

		const slice = hot.get(key) ?? sliceOf(key, service.slices);
		const row = table?.rows[slice];
		const owner = row && this.view.get('backend-server', row.owner);
		return owner
			? Right({service, candidates: [owner], slice, epoch: row.epoch})
			: refuse(
					'no-owner',
					`slice ${slice} of ${service.service} has no owner`,
					500,
				);
	}
}

function inService(
	view: View,
	{service}: Service,
	servers: readonly BackendServer[],
): readonly BackendServer[] {
	return servers
		.filter((server) => server.service === service && !server.out)
		.filter((server) => !view.get('failure-domain', server.failureDomain)?.out);
}

function freeRoute({
	service,
	candidates,
}: ServiceRoutes): Either<Refusal, Route> {
	return candidates.length > 0
		? Right({service, candidates})
		: refuse(
				'no-server',
				`no backend server of ${service.service} is in service`,
				1000,
			);
}

function refuse(
	reason: Refusal['reason'],
	message: string,
	retryAfterMs?: number,
): Either<Refusal, Route> {
	const refusal: Refusal = {reason, ran: 'not-run', message};
	return Left(
		retryAfterMs === undefined ? refusal : {...refusal, retryAfterMs},
	);
}
