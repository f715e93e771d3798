/** Why a call to the platform's store did not do what it was to do. */
import {type StoredObject} from './object-store.js';

export type ObjectError =
	/** The object exists already, or is at another revision. */
	| {readonly kind: 'conflict'; readonly held: StoredObject | undefined}
	| {readonly kind: 'missing'}
	/** The history that a watch asked for is gone: list again. */
	| {readonly kind: 'expired'}
	/** Nothing was done. */
	| {readonly kind: 'refused'; readonly message: string}
	/** An answer that cannot be read; a write was carried out, as far as its status tells. */
	| {readonly kind: 'unreadable'; readonly message: string}
	/** No answer: a write may still be carried out. */
	| {readonly kind: 'unknown'; readonly message: string};

/** How an error is shown in a log line. */
export function shownError(error: ObjectError): string {
	return 'message' in error ? error.message : error.kind;
}
