/** The platform's store: objects by kind and name, conditional changes, and long polls for what has changed. */
import {type Millis} from '@kingcuproute/core';
import {type Either} from 'purify-ts';
import {type ObjectError} from './object-error.js';

export type StoredObject = {
	readonly name: string;
	/** The store's revision at the object's last change. */
	readonly revision: number;
	/** Bodies of the platform's making; their readers check them. */
	readonly spec: unknown;
	readonly status: unknown;
	/** Whatever else stands at the object's top level. */
	readonly rest: Readonly<Record<string, unknown>>;
};

export type ObjectChange = {
	readonly object: StoredObject;
	readonly removed: boolean;
};

/** Every object of a kind, and the revision from which a watch follows on. */
export type ObjectListing = {
	readonly revision: number;
	readonly objects: readonly StoredObject[];
	/** Names of those that cannot be read, where there are any. */
	readonly unreadable?: readonly string[];
};

export type ObjectChanges = {
	readonly revision: number;
	readonly changes: readonly ObjectChange[];
	/** Names of those that cannot be read, where there are any. */
	readonly unreadable?: readonly string[];
};

/** A change of an object; it happens only if the object is still at `revision`, or does not exist where that is undefined. */
export type ObjectWrite = {
	readonly kind: string;
	readonly name: string;
	readonly revision: number | undefined;
	readonly spec: unknown;
};

/** Every call ends within a bound, whatever the store does. */
export abstract class ObjectStore {
	/** Reads a whole kind, seconds old where `stale`, which costs a tenth and counts toward no rate. */
	abstract list(
		kind: string,
		stale?: boolean,
	): Promise<Either<ObjectError, ObjectListing>>;

	/** Resolves with the changes after `revision` as soon as there are any, or with none after `waitMs`. */
	abstract watch(
		kind: string,
		revision: number,
		waitMs: Millis,
	): Promise<Either<ObjectError, ObjectChanges>>;

	abstract write(
		write: ObjectWrite,
	): Promise<Either<ObjectError, StoredObject>>;

	/** Removes an object, at whatever revision it is. */
	abstract remove(
		kind: string,
		name: string,
	): Promise<Either<ObjectError, undefined>>;
}
