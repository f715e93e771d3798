export {
	Platform,
	type ListedVm,
	type Listing,
	type StopWatch,
	type UnreadableObject,
	type WatchEvent,
} from './platform.js';
export {type PlatformError} from './platform-error.js';
export {HttpPlatform, type HttpPlatformOptions} from './http-platform.js';
export {
	boundedAgent,
	BoundedClient,
	boundedFactory,
	type BoundedOptions,
} from './bounded-connections.js';
export {SystemClock} from './system-clock.js';
export {reachableAddress} from './reachable-address.js';
export {
	parseDeployment,
	settingsVariable,
	type Address,
	type Deployment,
} from './deployment.js';
export {HttpObjectStore} from './http-object-store.js';
export {
	keyTrafficKind,
	keyTrafficSpec,
	parseKeyTraffic,
} from './key-traffic-document.js';
export {
	HttpKeyOrders,
	KeyOrders,
	type OrderTarget,
	type OrderOutcome,
} from './key-orders.js';
export {
	HealthChecks,
	HttpHealthChecks,
	type CheckedServer,
} from './health-checks.js';
export {
	daemonsKind,
	daemonSpec,
	isOfItsEra,
	keepersKind,
	rangeTablesKind,
	rangeTableSpec,
	parseDaemon,
	parseKeeper,
	parseRangeTable,
	withEra,
	type Keeper,
} from './range-table-document.js';
export {
	crashReportSpec,
	crashReportsKind,
	parseCrashReport,
} from './crash-report-document.js';
export {parseListedServer, serversKind} from './listed-servers.js';
export {hasDiffs, patchedSpec, specDiff} from './spec-diff.js';
export {errorText, heldRevision, type ObjectError} from './object-error.js';
export {
	ObjectStore,
	type ObjectChange,
	type ObjectChanges,
	type ObjectListing,
	type ObjectWrite,
	type RelayedReading,
	type StoredObject,
} from './object-store.js';
export {
	answerFields,
	parseLoad,
	readAnswerMetadata,
	requestFields,
	type AnswerMetadata,
	type ServerLoad,
} from './request-fields.js';
export {
	configKind,
	configName,
	evacuationsKind,
	fallbackLimits,
	parseRoutingConfig,
	type RoutingReading,
} from './routing-document.js';
