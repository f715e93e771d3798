/** The target latency by which the load of a service's servers is judged. */
import {type Millis} from '../time/clock.js';
import {type RoutingConfig} from './route-rule.js';

/** The smallest target latency of the routes that lead to the service; undefined if none does. */
export function serviceTarget(
	{rules}: RoutingConfig,
	service: string,
): Millis | undefined {
	const targets = rules
		.filter(({parts}) => parts.some((part) => part.service === service))
		.map(({targetMs}) => targetMs);
	return targets.length > 0 ? Math.min(...targets) : undefined;
}
