/** The server picked for a request. */
import {
	type BackendServer,
	type Millis,
	type Outcome,
} from '@kingcuproute/core';

export type PickedServer = {
	readonly server: BackendServer;
	/** How long the request waited for the server. */
	readonly queuedMs: Millis;
	/** Must be called once, when the request has ended at the server; further calls do nothing. */
	readonly done: (outcome: Outcome) => void;
};
