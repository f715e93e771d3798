/** The log lines of one request. */
import {
	type AttemptEnd,
	type BackendServer,
	type RetryState,
	type Millis,
	type Refusal,
} from '@kingcuproute/core';
import {type PickedServer} from '../balance/pick.js';
import {type LogFields, type Log} from '../log/log.js';
import {type CallerRequest} from './caller-request.js';
import {type Route} from './route.js';

export class RequestLines {
	constructor(
		private readonly log: Log,
		private readonly request: CallerRequest,
	) {}

	/** The routing decision; `attempt` counts from 1. */
	routed(
		route: Route,
		{server, queuedMs}: PickedServer,
		attempt: number,
	): void {
		const {id, head} = this.request;
		this.log.routing('routed', {
			id,
			customer: head.customer,
			service: head.service,
			slice: route.slice,
			epoch: route.epoch,
			backendServer: server.backendServer,
			among: route.candidates.length,
			attempt,
			queuedMs: Math.round(queuedMs),
		});
	}

	retried(
		{backendServer}: BackendServer,
		retryState: RetryState,
		end: AttemptEnd,
		pauseMs: Millis,
	): void {
		this.#info('retried', {
			backendServer,
			attempts: retryState.attempts,
			ended: end.kind,
			ran: retryState.ran,
			pauseMs: Math.round(pauseMs),
		});
	}

	/** A hedge, sent because the attempt at `late` had no answer within `afterMs`. */
	hedged(
		late: BackendServer,
		{backendServer}: BackendServer,
		afterMs: Millis,
	): void {
		this.#info('hedged', {
			backendServer,
			late: late.backendServer,
			afterMs: Math.round(afterMs),
		});
	}

	refused({reason, ran, message}: Refusal): void {
		this.#info('refused', {reason, ran, message});
	}

	cut({backendServer}: BackendServer, message: string): void {
		this.#info('cut', {backendServer, message, ran: 'unknown'});
	}

	cancelled({backendServer}: BackendServer): void {
		this.#info('cancelled', {backendServer, ran: 'unknown'});
	}

	connectionsRetired({backendServer, address}: BackendServer): void {
		this.#info('connections-retired', {backendServer, address});
	}

	#info(event: string, fields: LogFields): void {
		const {id, head} = this.request;
		const {customer, service} = head;
		this.log.info(event, {id, customer, service, ...fields});
	}
}
