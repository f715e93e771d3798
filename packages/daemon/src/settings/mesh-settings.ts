/** Settings of the address at which other daemons reach this one. */
import {reachableAddress} from '@kingcuproute/platform';
import {listener} from './listener.js';

export const meshSettings = listener.extend({
	/** Address at which other daemons reach this one, if it is not the one it listens on. */
	advertise: reachableAddress.optional(),
});
