/** The part of the settings that must be the same on every daemon. */
import {type CommonSettings} from '@kingcuproute/core';
import {type Settings} from './settings.js';

/** Returns the common part of this daemon's settings. */
export function commonSettingsOf({
	ownership,
	keys,
	limits,
}: Settings): CommonSettings {
	return {
		durations: [
			{path: 'ownership.leaseMs', ms: ownership.leaseMs},
			{path: 'ownership.marginMs', ms: ownership.marginMs},
			{path: 'ownership.validMs', ms: ownership.validMs},
			{path: 'ownership.loanMs', ms: ownership.loanMs},
			{path: 'keys.windowMs', ms: keys.windowMs},
			{path: 'keys.skewMs', ms: keys.skewMs},
			{path: 'keys.loanMs', ms: keys.loanMs},
			{path: 'limits.grantMs', ms: limits.grantMs},
			{path: 'limits.promiseMs', ms: limits.promiseMs},
		],
	};
}
