/** Why a command failed, and its exit code. */
import {type PlatformError} from '@kingcuproute/platform';
import {exitCodes, type ExitCode} from './exit-code.js';

export type Failure = {
	readonly code: ExitCode;
	readonly message: string;
};

const hints: Readonly<Record<PlatformError['kind'], string>> = {
	conflict: 'someone else changed it in the meantime; nothing was written',
	missing: 'the object does not exist',
	invalid: 'the platform refused it',
	unavailable: 'the platform did not answer; nothing was written',
	unknown:
		'the answer was lost and the write may have taken effect; check before trying again',
	expired: 'the version is no longer kept',
};

/** An error of the platform, explained to the operator. */
export function platformFailure(error: PlatformError): Failure {
	const {kind, message} = error;
	const code = kind === 'expired' ? exitCodes.failed : exitCodes[kind];
	return {code, message: `${kind}: ${hints[kind]} (${message})`};
}

/** Invalid arguments or an invalid file. */
export function invalid(message: string): Failure {
	return {code: exitCodes.invalid, message};
}
