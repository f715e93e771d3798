/**
 * Errors of calls to the object API, classified by what the caller can do about
 * them.
 */

/** The object has another version than the change was based on: read it again and decide anew. */
export type Conflict = {readonly kind: 'conflict'; readonly message: string};

/** The object does not exist. */
export type Missing = {readonly kind: 'missing'; readonly message: string};

/** The platform rejected the request as invalid: a retry would fail too. */
export type Invalid = {readonly kind: 'invalid'; readonly message: string};

/** Nothing took effect: the platform could not be reached, or answered that it is not available. */
export type Unavailable = {
	readonly kind: 'unavailable';
	readonly message: string;
};

/** A write may have taken effect: read the object back before doing anything else. */
export type Unknown = {readonly kind: 'unknown'; readonly message: string};

/** The platform no longer has the version that the watch starts from: list again. */
export type Expired = {readonly kind: 'expired'; readonly message: string};

/** An error of the platform layer. */
export type PlatformError =
	Conflict | Missing | Invalid | Unavailable | Unknown | Expired;
