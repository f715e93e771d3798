/** The platform's store: objects by kind and name, conditional writes, and long polls for changes. */
import {type Millis, type StoreEra} from '@kingcuproute/core';
import {type Either} from 'purify-ts';
import {type ObjectError} from './object-error.js';

export type StoredObject = {
	readonly name: string;
	/** The store's revision when the object was last changed, as `revisionIn` orders it over eras; so are all revisions here. */
	readonly revision: number;
	/** Content defined by the platform; whoever uses it has to validate it. */
	readonly spec: unknown;
	readonly status: unknown;
	/** All other top-level fields of the object. */
	readonly rest: Readonly<Record<string, unknown>>;
};

export type ObjectChange = {
	readonly object: StoredObject;
	readonly removed: boolean;
};

/** Where a reading came from, if the store's latest answer is not what it is. */
export type RelayedReading = {
	/** When the store last confirmed the reading, as far as is known. */
	readonly confirmedAt: Millis;
	/** When the first of its changes was made, at the earliest; undefined if that is not known. */
	readonly changedSince?: Millis | undefined;
	/** Whether the next reading comes from a peer as well, so that it costs no call to the store. */
	readonly byPeer: boolean;
};

/** Every object of a kind, and the revision from which a watch can continue. */
export type ObjectListing = {
	readonly revision: number;
	readonly objects: readonly StoredObject[];
	/** Names of those that cannot be read, where there are any. */
	readonly unreadable?: readonly string[];
	readonly relay?: RelayedReading;
};

export type ObjectChanges = {
	readonly revision: number;
	readonly changes: readonly ObjectChange[];
	/** Names of those that cannot be read, where there are any. */
	readonly unreadable?: readonly string[];
	readonly relay?: RelayedReading;
};

/** A conditional write: it succeeds only if the object is still at `revision` or, if that is undefined, does not exist. */
export type ObjectWrite = {
	readonly kind: string;
	readonly name: string;
	readonly revision: number | undefined;
	readonly spec: unknown;
};

const unnamedEra: StoreEra = {number: 0, since: -Infinity, isFirst: true};

/**
 * Client of the store. Every call ends within a bounded time, whatever the store does. No
 * reading is from an earlier era than one before it.
 */
export abstract class ObjectStore {
	/** The newest era that an answer named. */
	get era(): StoreEra {
		return unnamedEra;
	}

	/**
	 * Reads all objects of a kind. With `stale`, the result may be seconds old; such a
	 * call costs a tenth of a usual one and does not count towards the rate limits.
	 */
	abstract list(
		kind: string,
		stale?: boolean,
	): Promise<Either<ObjectError, ObjectListing>>;

	/**
	 * Resolves with the changes after `revision` as soon as there are any, or with none
	 * after `waitMs`. With `stale`, it may miss changes of the last seconds and costs as
	 * little as such a list. A revision of another era is expired.
	 */
	abstract watch(
		kind: string,
		revision: number,
		waitMs: Millis,
		stale?: boolean,
	): Promise<Either<ObjectError, ObjectChanges>>;

	/**
	 * Writes an object. A condition of a former era fails, even if the store, which knows only
	 * the number of a revision, has carried the write out.
	 */
	abstract write(
		write: ObjectWrite,
	): Promise<Either<ObjectError, StoredObject>>;

	/** Removes an object, whatever its revision. */
	abstract remove(
		kind: string,
		name: string,
	): Promise<Either<ObjectError, undefined>>;
}
