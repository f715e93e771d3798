/**
 * The newest decisions of this daemon, kept to explain why a request was sent to a
 * server and why a slice is placed on one. Their number is bounded by one ring buffer
 * for requests and one for slices, so that traffic does not displace decisions on
 * placement.
 */
import {type Clock, type Millis} from '@kingcuproute/core';
import {type LogFields} from '../log/log.js';

const maxRequestDecisions = 20_000;
const maxSliceDecisions = 5000;

/** An event that was logged, with its time in ms since the Unix epoch. */
export type Decision = LogFields & {
	readonly event: string;
	readonly at: Millis;
};

/** What a query for decisions is about. */
export type Subject =
	| {readonly kind: 'request'; readonly id: string}
	| {readonly kind: 'slice'; readonly service: string; readonly slice: number};

/** A ring buffer of the last `capacity` decisions. */
class RingBuffer {
	readonly #decisions: Decision[] = [];
	#next = 0;

	constructor(private readonly capacity: number) {}

	add(decision: Decision): void {
		this.#decisions[this.#next] = decision;
		this.#next = (this.#next + 1) % this.capacity;
	}

	find(matches: (decision: Decision) => boolean): readonly Decision[] {
		return this.#decisions.filter((decision) => matches(decision));
	}
}

export class Decisions {
	readonly #requests = new RingBuffer(maxRequestDecisions);
	readonly #slices = new RingBuffer(maxSliceDecisions);

	constructor(private readonly clock: Clock) {}

	/** Records an event that has the id of a request or the name of a service; other events are ignored. */
	record(event: string, fields: LogFields): void {
		const decision = {...fields, event, at: this.clock.wall()};
		if (fields.id !== undefined) {
			this.#requests.add(decision);
		} else if (fields.service !== undefined) {
			this.#slices.add(decision);
		}
	}

	/** The recorded decisions about a subject, oldest first. */
	about(subject: Subject): readonly Decision[] {
		const decisions =
			subject.kind === 'request'
				? this.#requests.find(({id}) => id === subject.id)
				: this.#slices.find(
						({service, slice, row}) =>
							service === subject.service &&
							(slice === undefined ||
								slice === subject.slice ||
								row === subject.slice),
					);
		return decisions.toSorted((a, b) => a.at - b.at);
	}
}
