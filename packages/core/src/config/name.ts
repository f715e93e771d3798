/** Names of objects: lower-case letters, digits and hyphens, since they appear in paths and logs. */
import {z} from 'zod';

const maxNameLen = 63;

export const name = z
	.string()
	.max(maxNameLen)
	.regex(
		/^[a-z\d]([a-z\d-]*[a-z\d])?$/,
		'lower case letters, digits and hyphens, as in tiktak-haus-1',
	);
