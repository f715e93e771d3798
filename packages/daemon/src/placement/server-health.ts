/** Which servers guarded by this daemon don't answer; updated by the guardian task. */
import {type GuardianState, type Millis} from '@kingcuproute/core';
import {singleton} from 'tsyringe';
import {Topic} from '../task/topic.js';

@singleton()
export class ServerHealth {
	/** Names of the servers that are down. */
	readonly down = new Topic<ReadonlySet<string>>(new Set());

	/** Marks the server as down if this daemon is its guardian and has not heard from it for longer than a lease. */
	update(state: GuardianState, now: Millis): void {
		const {self, server, standing, reading, since, timing} = state;
		const heardAt = Math.max(since, reading?.receivedAt ?? -Infinity);
		const isGuardian = standing.guard?.guardian === self;
		this.setDown(server, isGuardian && now - heardAt > timing.leaseMs);
	}

	/** Records whether a guarded server is down. */
	setDown(server: string, isDown: boolean): void {
		const {value} = this.down;
		if (value.has(server) !== isDown) {
			const down = new Set(value);
			if (isDown) {
				down.add(server);
			} else {
				down.delete(server);
			}

			this.down.publish(down);
		}
	}
}
