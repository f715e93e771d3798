/** The services and state that all requests of the daemon share. */
import {
	type BufferBudget,
	type Clock,
	type Random,
	type StopPlan,
} from '@kingcuproute/core';
import {type Log} from '../log/log.js';
import {type ServerConnections} from '../requests/server-connections.js';
import {type ServiceBudgets} from '../requests/service-budgets.js';
import {type CrashQuarantine} from './crash-quarantine.js';
import {type CustomerQuotas} from './customer-quotas.js';
import {type GatewayMetrics} from './gateway-metrics.js';
import {type ServerNotices} from './server-notices.js';
import {type ServerPicks} from './server-picks.js';
import {type TrafficTask} from './traffic-task.js';
import {type ViewTask} from './view-task.js';
import {type WaitingRequests} from './waiting-requests.js';
import {type WarmthChecks} from './warmth-checks.js';

export type ExchangeContext = {
	readonly view: ViewTask;
	readonly picks: ServerPicks;
	/** The requests that wait until a server has room. */
	readonly waiting: WaitingRequests;
	readonly traffic: TrafficTask;
	readonly connections: ServerConnections;
	readonly budgets: ServiceBudgets;
	readonly buffers: BufferBudget;
	readonly clock: Clock;
	readonly random: Random;
	readonly notices: ServerNotices;
	readonly warmth: WarmthChecks;
	readonly quarantine: CrashQuarantine;
	readonly quotas: CustomerQuotas;
	readonly metrics: GatewayMetrics;
	readonly log: Log;
	/** Undefined unless the daemon is stopping. */
	readonly stopPlan: () => StopPlan | undefined;
};
