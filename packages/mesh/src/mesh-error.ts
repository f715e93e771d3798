/** Errors of calls between daemons, by what the caller can do about them. */

/** No answer came in time; the peer may or may not have carried out the call. */
export type Unreachable = {
	readonly kind: 'unreachable';
	readonly message: string;
};

/** The peer refused the call. */
export type Refused = {readonly kind: 'refused'; readonly message: string};

/** Why a call has no answer. */
export type MeshError = Unreachable | Refused;
