/** Errors of calls to the platform's store. */
import {type StoredObject} from './object-store.js';

export type ObjectError =
	/** The object exists already, or is at another revision. */
	| {readonly kind: 'conflict'; readonly held: StoredObject | undefined}
	| {readonly kind: 'missing'}
	/** The store no longer has the changes that a watch asked for: list again. */
	| {readonly kind: 'expired'}
	/** The store refused the call and did nothing. */
	| {readonly kind: 'refused'; readonly message: string}
	/** The answer is unreadable. Its status reports success, so a write was probably carried out. */
	| {readonly kind: 'unreadable'; readonly message: string}
	/** No answer, or one whose meaning is not known: a write may still be carried out. */
	| {readonly kind: 'unknown'; readonly message: string};

/** The text of an error for log lines. */
export function errorText(error: ObjectError): string {
	return 'message' in error ? error.message : error.kind;
}

/** The revision of the object that a conditional write met; undefined if it met none. */
export function heldRevision(error: ObjectError): number | undefined {
	return error.kind === 'conflict' ? error.held?.revision : undefined;
}
