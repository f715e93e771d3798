/** Settings of where other daemons reach this one. */
import {reachableAddress} from '@kingcuproute/platform';
import {listener} from './listener.js';

export const meshSettings = listener.extend({
	/** Where the others reach this daemon, when that is not where it listens. */
	advertise: reachableAddress.optional(),
});
