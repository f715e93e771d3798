/** A backend server as it has registered itself with the platform. */
import {type Millis} from '../time/clock.js';

export type ListedServer = {
	/** New with most starts, but a server may start again under its former id. */
	readonly backendServer: string;
	/** The wall clock's reading at its start, in ms since the Unix epoch; tells runs under one id apart. */
	readonly startedAt: number;
	readonly service: string;
	/** Host and port. */
	readonly address: string;
	readonly failureDomain: string;
	/** Requests that it runs at once. */
	readonly slots: number;
	readonly draining: boolean;
	/** How long it was going to stay cold when it reported. */
	readonly coldMs: Millis;
};

/** Whether both are the same run of a server. */
export function isSameRun(a: ListedServer, b: ListedServer): boolean {
	return a.backendServer === b.backendServer && a.startedAt === b.startedAt;
}
