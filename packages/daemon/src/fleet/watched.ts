/** A daemon that this one watches, and the state of the watch. */
import {type Member, type Millis} from '@kingcuproute/core';

export class WatchedDaemon {
	nextBeatAt: Millis = 0;
	/** Other daemons are being asked whether they can reach it. */
	doubted = false;

	constructor(
		readonly member: Member,
		/** This daemon sends it heartbeats; if false, it sends them to this daemon. */
		readonly isHeartbeatTarget: boolean,
		public heardAt: Millis,
	) {}
}
