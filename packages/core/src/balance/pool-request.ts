/** A request as balancing sees it: its candidate servers, weight and deadline. */
import {type BackendServer} from '../config/backend-server.js';
import {type Service} from '../config/service.js';
import {type Millis} from '../time/clock.js';

export type PoolRequest = {
	readonly service: Service;
	/** Servers in service that may handle the request; for a keyed request, only the key's owner. */
	readonly candidates: readonly BackendServer[];
	/** Whether only the key's owner may handle the request: it is never sent elsewhere. */
	readonly keyed: boolean;
	readonly customer: string;
	/** Weight of the customer's contract. */
	readonly weight: number;
	/** Cost of the request relative to an ordinary one, which is 1. */
	readonly cost?: number;
	/** When the caller stops waiting, on this daemon's clock. */
	readonly deadlineAt: Millis;
	/** Servers already tried: chosen again only if there is no other. */
	readonly avoid?: readonly string[];
};
