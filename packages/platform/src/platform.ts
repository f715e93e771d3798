/**
 * The platform's object API: named objects with versions, conditional updates
 * and watches, and a list of VMs that lags. One version counter increases with every
 * write to any object, so deciding which version is newer needs no clock.
 */
import {
	type VersionedObject,
	type Kind,
	type KindValue,
} from '@kingcuproute/core';
import {type Either} from 'purify-ts';
import {type PlatformError} from './platform-error.js';

/** A VM as the platform lists it; the list lags. */
export type ListedVm = {
	readonly vm: string;
	readonly failureDomain: string;
	/** Host and port of the mesh listener that runs there. */
	readonly address: string;
	/** A leaving VM will be stopped soon; one that is not listed has been stopped. */
	readonly state: 'live' | 'leaving';
};

/** What is known of an object that does not match the schema of its kind. */
export type UnreadableObject = {
	readonly kind?: string;
	readonly name?: string;
	readonly version?: number;
	readonly message: string;
};

/** All objects of every kind, and the version from which a watch can continue. */
export type Listing = {
	readonly version: number;
	readonly objects: readonly VersionedObject[];
	/** Objects that exist but are unreadable; earlier knowledge of them stays valid. */
	readonly unreadable: readonly UnreadableObject[];
};

/** What a watch reports: that it is open, a change, an unreadable change, or that it has ended and must be opened again. */
export type WatchEvent =
	| {readonly kind: 'opened'}
	| {readonly kind: 'changed'; readonly held: VersionedObject}
	| {readonly kind: 'unreadable'; readonly object: UnreadableObject}
	| {readonly kind: 'ended'; readonly error: PlatformError};

/** Stops a watch. */
export type StopWatch = () => void;

/** The object API. Every call ends within its timeout, whatever the platform does. */
export abstract class Platform {
	/** Reads one object. */
	abstract get<K extends Kind>(
		kind: K,
		name: string,
	): Promise<Either<PlatformError, VersionedObject<K>>>;

	/** Reads every object of every kind, all at the same version. */
	abstract list(): Promise<Either<PlatformError, Listing>>;

	/** Creates an object that does not exist; `conflict` if it does. */
	abstract create<K extends Kind>(
		kind: K,
		name: string,
		value: KindValue<K>,
	): Promise<Either<PlatformError, VersionedObject<K>>>;

	/** Replaces an object if it is still at `version`; `conflict` if it is not. */
	abstract update<K extends Kind>(
		kind: K,
		name: string,
		version: number,
		value: KindValue<K>,
	): Promise<Either<PlatformError, VersionedObject<K>>>;

	/** Deletes an object if it is still at `version`. */
	abstract delete(
		kind: Kind,
		name: string,
		version: number,
	): Promise<Either<PlatformError, VersionedObject>>;

	/** Reports every change after `since` until stopped; after `ended` it reports nothing more. */
	abstract watch(
		since: number,
		onEvent: (event: WatchEvent) => void,
	): StopWatch;

	/** The list of VMs, which lags behind the actual state. */
	abstract vms(): Promise<Either<PlatformError, readonly ListedVm[]>>;
}
