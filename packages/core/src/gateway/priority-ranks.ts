/**
 * The kinds of request that share a service, in the order of their priority. Answers
 * overload of a shared service: the place of a kind among the others decides how much
 * waiting room it leaves to them, whatever numbers the operators chose as priorities.
 */
import {type Millis} from '../time/clock.js';
import {type RouteRule} from './route-rule.js';

/** Where a request stands among the kinds that share its service. */
export type PriorityRank = {
	/** The number of more urgent priorities; 0 is the most urgent. */
	readonly rank: number;
	/** The shortest target latency among the more urgent kinds; Infinity if there are none. */
	readonly urgentTargetMs: Millis;
};

type Kind = Pick<RouteRule, 'priority' | 'targetMs'>;

export class PriorityRanks {
	readonly #kinds = new Map<string, Kind[]>();

	constructor(rules: readonly RouteRule[]) {
		for (const {parts, priority, targetMs, timeoutMs} of rules) {
			// A target latency that is not stated is the time-out.
			if (targetMs < timeoutMs || priority < Number.MAX_SAFE_INTEGER) {
				for (const {service} of parts) {
					const kinds = this.#kinds.get(service) ?? [];
					kinds.push({priority, targetMs});
					this.#kinds.set(service, kinds);
				}
			}
		}
	}

	/** Whether a route to the service states a priority or a target latency. */
	isStated(service: string): boolean {
		return this.#kinds.has(service);
	}

	of(service: string, priority: number): PriorityRank {
		const urgent = (this.#kinds.get(service) ?? []).filter(
			(kind) => kind.priority < priority,
		);
		return {
			rank: new Set(urgent.map((kind) => kind.priority)).size,
			urgentTargetMs: Math.min(...urgent.map(({targetMs}) => targetMs)),
		};
	}
}
