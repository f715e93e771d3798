/** A request as the caller sent it, and the parts of a daemon that process it. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Clock, type Millis} from '@kingcuproute/core';
import {type BalanceTask} from '../balance/balance-task.js';
import {type LimitsTask} from '../limits/limits-task.js';
import {type Log} from '../log/log.js';
import {type SliceLoad} from '../placement/slice-load.js';
import {type Settings} from '../settings/settings.js';
import {type MutableRetryBudget} from './budget.js';
import {type Choice} from './choice.js';
import {type KeyTask} from './keys/key-task.js';
import {type QuarantineTask} from './quarantine/quarantine-task.js';
import {type RequestMetrics} from './request-metrics.js';
import {type RequestHead} from './route.js';
import {type RoutingTask} from './routing-task.js';
import {type ServerConnections} from './server-connections.js';

/** The parts of a daemon that every exchange uses. */
export type Dependencies = {
	readonly settings: Settings;
	readonly clock: Clock;
	readonly balance: BalanceTask;
	readonly choice: Choice;
	readonly limits: LimitsTask;
	readonly log: Log;
	readonly metrics: RequestMetrics;
	readonly routing: RoutingTask;
	readonly connections: ServerConnections;
	readonly budget: MutableRetryBudget;
	readonly keys: KeyTask;
	readonly quarantine: QuarantineTask;
	readonly sliceLoad: SliceLoad;
};

/** A request as the caller sent it. */
export type CallerRequest = {
	readonly id: string;
	readonly head: RequestHead;
	/** When it arrived, on the daemon's clock. */
	readonly arrivedAt: Millis;
	/** When the caller stops waiting, on the daemon's clock. */
	readonly deadline: Millis;
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
};
