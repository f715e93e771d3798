/** Readings of the store's objects through peers, as the store that selects peer or store uses them. */
import {type Millis} from '@kingcuproute/core';
import {type ObjectChange} from '@kingcuproute/platform';
import {Topic} from '../task/topic.js';

export type PeerOutcome =
	| {
			readonly kind: 'read';
			readonly revision: number;
			/** The newest revision at which an object of the kind changed. */
			readonly contentRevision: number;
			/** When the store last confirmed the objects, at the latest. */
			readonly confirmedAt: Millis;
			/** When the first of the changes was made, at the earliest; undefined if that is not known. */
			readonly changedSince: Millis | undefined;
			/** In a list all objects. */
			readonly changes: readonly ObjectChange[];
	  }
	/** The peer does not know the changes that were asked for: list again. */
	| {readonly kind: 'expired'}
	/** No peer is fit to read from. */
	| {readonly kind: 'none'};

export abstract class PeerReads {
	/** Published when a peer has become fit, after none was. */
	readonly usable = new Topic<Millis>(-Infinity);

	/** Whether some peer is fit to read from. */
	abstract get isUsable(): boolean;

	/** Whether peers of two domains say that the store fails. */
	abstract get isStoreAway(): boolean;

	abstract list(kind: string): Promise<PeerOutcome>;

	/** Resolves with the changes after `since` as soon as there are any, or soon with none. */
	abstract watch(kind: string, since: number): Promise<PeerOutcome>;

	/** Asks the peer to read its changes of the kind soon. */
	abstract hurry(kind: string): void;
}
