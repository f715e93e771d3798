/**
 * One request's way to a server under admission control: it is sent when a server has
 * room and no waiting request goes before it, and waits or is refused otherwise.
 */
import {withoutRank, type Millis, type RoutedService} from '@kingcuproute/core';
import {Left, Right, type Either} from 'purify-ts';
import {type RequestEnd} from './request-end.js';
import {type AdmissionRequest, type Examined} from './server-admission.js';
import {
	type Choice,
	type PickCriteria,
	type ServerPicks,
} from './server-picks.js';
import {type Waiting, type WaitingRequests} from './waiting-requests.js';

export type AdmissionContext = {
	readonly picks: ServerPicks;
	readonly waiting: WaitingRequests;
};

/** The request as admission and its queue need it. */
export type AdmittedRequest = Pick<AdmissionRequest, 'id' | 'rule'> & {
	readonly service: RoutedService;
	/** Whose request it is; no caller can fill a queue alone. */
	readonly caller: string;
	readonly arrivedAt: Millis;
	/** How long the caller allows for the answer. */
	readonly allowedMs: Millis;
	readonly until: Millis;
	readonly priority: number;
};

/** What to do next: send the request to the chosen server, or begin anew because it has waited. */
export type Placement = Choice | 'again';

/** The queue's permission to try now. */
type Turn = {readonly isOldest: boolean};

export class RequestAdmission {
	readonly #admission: AdmissionRequest | undefined;
	#waiting: Waiting | undefined;
	/** Set once the queue has let the request out, until it is sent. */
	#turn: Turn | undefined;

	constructor(
		private readonly context: AdmissionContext,
		private readonly request: AdmittedRequest,
	) {
		const {picks, waiting} = context;
		const {id, rule, service} = request;
		this.#admission = picks.admission.isActive(service.service)
			? {
					id,
					rule,
					ask: picks.admission.ask(rule, service.service, request),
					othersInTime: (queue) => waiting.hasInTime(queue, id),
				}
			: undefined;
	}

	/** Takes the request out of its queue, if it waits in one. */
	withdraw(): void {
		this.#waiting?.withdraw();
	}

	/** Chooses a server; waits first if none has room, or if others wait for it. */
	place(
		criteria: PickCriteria,
	): Either<RequestEnd, Placement> | Promise<Either<RequestEnd, Placement>> {
		const {picks, waiting} = this.context;
		const turn = this.#turn;
		this.#turn = undefined;
		const full = {...criteria, admission: this.#admission};
		const picked = picks.pick(turn?.isOldest ? asOldest(full) : full);
		const {examined} = picked.extract();
		const isOthersTurn =
			!turn && examined !== undefined && waiting.isWaiting(examined.queue);
		if (this.#admission && examined && (picked.isLeft() || isOthersTurn)) {
			return this.#wait(full, this.#admission, examined);
		}

		return picked;
	}

	async #wait(
		criteria: PickCriteria,
		{id, ask}: AdmissionRequest,
		examined: Examined,
	): Promise<Either<RequestEnd, Placement>> {
		const {picks, waiting} = this.context;
		const {service, caller, arrivedAt} = this.request;
		const examine = (isOldest: boolean) =>
			picks.examine(isOldest ? asOldest(criteria) : criteria);
		const {runMs} = examined.room;
		this.#waiting = waiting.wait(
			{id, caller, ask, runMs, arrivedAt, service: service.service, examine},
			examined,
		);
		const end = await this.#waiting.ended;
		this.#waiting = undefined;
		this.#turn = end.kind === 'try' ? end : undefined;
		return end.kind === 'refused' ? Left(end.end) : Right('again');
	}
}

/** The criteria of a request whose turn does not depend on its rank. */
function asOldest({admission, ...criteria}: PickCriteria): PickCriteria {
	return admission
		? {...criteria, admission: {...admission, ask: withoutRank(admission.ask)}}
		: criteria;
}
