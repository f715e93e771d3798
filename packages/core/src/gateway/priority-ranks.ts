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

export class PriorityRanks {
	/** The shortest target latency of each priority, by service. */
	readonly #targets = new Map<string, Map<number, Millis>>();

	constructor(rules: readonly RouteRule[]) {
		for (const {parts, priority, targetMs, timeoutMs} of rules) {
			// A target latency that is not stated is the time-out.
			if (targetMs < timeoutMs || priority < Number.MAX_SAFE_INTEGER) {
				for (const {service} of parts) {
					const targets =
						this.#targets.get(service) ?? new Map<number, Millis>();
					const shortest = targets.get(priority) ?? Infinity;
					targets.set(priority, Math.min(shortest, targetMs));
					this.#targets.set(service, targets);
				}
			}
		}
	}

	/** Whether a route to the service states a priority or a target latency. */
	isStated(service: string): boolean {
		return this.#targets.has(service);
	}

	of(service: string, priority: number): PriorityRank {
		const urgent = [...(this.#targets.get(service) ?? [])].filter(
			([other]) => other < priority,
		);
		return {
			rank: urgent.length,
			urgentTargetMs: Math.min(...urgent.map(([, targetMs]) => targetMs)),
		};
	}
}
