/** Which daemon plans a service: the first by rendezvous hashing among those that answer. */
import {rendezvous} from '@kingcuproute/core';
import {type Member} from '../fleet/identity.js';

export function plannerOf(
	service: string,
	members: readonly Member[],
): Member | undefined {
	const [first] = rendezvous(
		service,
		members.map(({id}) => id),
	);
	return members.find(({id}) => id === first);
}
