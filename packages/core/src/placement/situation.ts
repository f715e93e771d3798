/** The input of the planner: an immutable view of a service, taken at one point in time. */
import {type BackendServer} from '../config/backend-server.js';
import {type FailureDomain} from '../config/failure-domain.js';
import {type Service} from '../config/service.js';
import {type Vm} from '../config/vm.js';
import {type SliceTable} from '../ownership/slice-table.js';
import {type Millis} from '../time/clock.js';
import {type DaemonRun} from './daemon-run.js';
import {type PlacementPolicy} from './policy.js';

export type Situation = {
	readonly service: Service;
	/** Absent until the first table is written. */
	readonly table: SliceTable | undefined;
	/** The backend servers of the service. */
	readonly servers: readonly BackendServer[];
	/** Servers that their guardians report as silent. */
	readonly down: ReadonlySet<string>;
	/** Capacities by server, relative to the others; 1 if absent. */
	readonly capacities: ReadonlyMap<string, number>;
	readonly failureDomains: readonly FailureDomain[];
	readonly vms: readonly Vm[];
	/** Daemons that respond now. */
	readonly daemons: readonly DaemonRun[];
	/** Ids of daemons that have responded recently. */
	readonly recent: ReadonlySet<string>;
	/** Ids of daemon runs that are proved to have ended for good. */
	readonly gone: ReadonlySet<string>;
	/** Number of servers of other services that each daemon guards, by daemon id. */
	readonly guardsElsewhere: ReadonlyMap<string, number>;
	/** Recent requests by slice, including those of the slice's hot keys; 0 if absent. */
	readonly loads: ReadonlyMap<number, number>;
	/** Recent requests by key, for the heaviest keys; `loads` includes them. */
	readonly keys: ReadonlyMap<string, number>;
	/** False until the counts cover a period long enough to base moves on them. */
	readonly measured: boolean;
	readonly now: Millis;
	readonly writer: string;
	readonly policy: PlacementPolicy;
};
