/**
 * The settings that the platform gives a process: lines of `path=value`. Unknown
 * fields are ignored, since the platform may add new ones at any time.
 */
import {
	validate,
	type Validated,
	type Fault,
	type Millis,
} from '@kingcuproute/core';
import {Left} from 'purify-ts';
import {z} from 'zod';
import {ifReadable} from './if-readable.js';
import {maxPort, reachableAddress} from './reachable-address.js';

/** Names the environment variable that holds the path of the settings file. */
export const settingsVariable = 'KINGCUPROUTE_BOOT';

/** Host and port. */
export type Address = {readonly host: string; readonly port: number};

/** Where a process runs and which resources it may use. */
export type Deployment = {
	readonly vm: string;
	readonly failureDomain: string;
	readonly region: string;
	readonly memoryLen: number;
	/** Most bytes of bodies in transit that a process buffers. */
	readonly bufferLen: number;
	/** Time charged for each KB of a request and its answer that moves between failure domains; undefined if it depends on the size of the deployment. */
	readonly crossDomainMsPerKb: number | undefined;
	/** The share of all keys that may move in a second to even out the load; undefined if the settings don't say. */
	readonly movedKeysShare: number | undefined;
	/** Requests are admitted by target latency and priority in fleets of at least this many daemons. */
	readonly admissionDaemons: number;
	readonly listen: {
		/** Listener for callers. */
		readonly entry: Address;
		/** Listener for readiness checks, which the platform's load balancer sends once a second. */
		readonly readiness: Address;
	};
	/** How daemons of the fleet reach this one; undefined if the settings do not say. */
	readonly peer?: {
		readonly address: Address;
		/** Processor time per second, in cores. */
		readonly capacity: number;
	};
	readonly store: {
		/** `host:port`. */
		readonly address: string;
		/** Calls per second, over all daemons. */
		readonly writeRate: number;
		readonly readRate: number;
	};
	/** How often backend servers report to the store. */
	readonly serverReportMs: Millis;
	readonly bounds: {
		/** Time from SIGTERM to SIGKILL. */
		readonly stopMs: Millis;
		/** Time from the report that a backend server is leaving until it may get no new requests. */
		readonly drainMs: Millis;
		/** For how long a daemon may act on outdated state after its connections were disturbed. */
		readonly outdatedMs: Millis;
		/** Longest allowed lease on keys. */
		readonly maxLeaseMs: Millis;
		/** Retry budget: sends of requests after their first, as a share of the requests in `retryWindowMs`, over all daemons. */
		readonly retryShare: number;
		/** Such sends allowed in addition to that share in `retryWindowMs`, over all daemons. */
		readonly retrySlack: number;
		readonly retryWindowMs: Millis;
		/** A cold server bears, in one second, `coldFactor` times its rate and `coldSlack` requests, from all daemons together. */
		readonly coldFactor: number;
		readonly coldSlack: number;
		/** In any `quotaWindowMs`, a customer's requests may exceed its quota by the share `quotaExcess` of it, and by `quotaSlack` requests, over all daemons. */
		readonly quotaWindowMs: Millis;
		readonly quotaExcess: number;
		readonly quotaSlack: number;
		/** How long API keys count whose revocation this daemon may have missed because the store did not answer; Infinity without that bound. */
		readonly revokeMs: Millis;
	};
};

const secondMs: Millis = 1000;
/** For a platform that states no such bounds. */
const defaultDrainMs: Millis = 2000;
const defaultOutdatedMs: Millis = 3000;
const defaultColdFactor = 1.5;
const defaultColdSlack = 5;
const defaultQuotaWindowS = 5;
const defaultQuotaExcess = 0.1;
const defaultQuotaSlack = 20;
/** Where revocations are strict and no time is stated: as long as a configuration takes to be in force. */
const defaultRevokeMs: Millis = 3000;
const megabyteLen = 1_048_576;
/** Share of a machine's memory for bodies in transit, if the settings don't say; the runtime needs the rest. */
const bufferShare = 0.1;
/** If the settings don't say: smaller fleets are served as before. */
const defaultAdmissionDaemons = 16;

const numeric = z
	.string()
	.regex(/^\d+(\.\d+)?$/, 'expected a number')
	.transform(Number);
const positive = numeric.refine(
	(number) => number > 0,
	'expected a number above 0',
);
const flag = z
	.enum(['0', '1', 'false', 'true'])
	.transform((text) => text === '1' || text === 'true');
const address = z
	.string()
	.regex(/^[^:\s]+:\d{1,5}$/, 'expected HOST:PORT')
	.transform((text): Address => {
		const [host, port] = text.split(':');
		return {host, port: Number(port)};
	})
	.refine(({port}) => port <= maxPort, `expected a port up to ${maxPort}`);

/** The first port of a range such as `7620,7635`. */
const firstPort = z
	.string()
	.regex(/^\d{1,5}(,\d{1,5})?$/, 'expected FIRST,LAST')
	.transform((text) => Number(text.split(',')[0]))
	.refine((port) => port <= maxPort, `expected a port up to ${maxPort}`);
const ip = z.union([z.ipv4(), z.ipv6()]);

/** A table whose missing fields are each reported, even if the whole table is missing. */
function table<S extends z.ZodRawShape>(shape: S) {
	return z.preprocess((value: unknown) => value ?? {}, z.object(shape));
}

const settingsSchema = table({
	self: table({
		node: z.string().min(1),
		zone: z.string().min(1),
		region: z.string().min(1),
		ip: ifReadable(ip),
		limits: table({
			memoryMb: numeric,
			cpuShare: ifReadable(numeric),
			cores: ifReadable(numeric),
		}),
	}),
	network: table({
		listen: table({front: address, ready: address}),
		portRange: ifReadable(firstPort),
	}),
	platform: table({
		heartbeatMs: numeric,
		platform: table({
			addr: reachableAddress,
			writesPerS: numeric,
			readsPerS: numeric,
		}),
	}),
	/** Settings of our own, which an operator may add to the file. */
	kingcuproute: table({
		bufferMb: numeric.optional(),
		crossDomainMsPerKb: numeric.optional(),
		movedKeysPerS: numeric.optional(),
		admissionDaemons: numeric.optional(),
	}),
	terms: table({
		bounds: table({
			graceS: numeric,
			drainMs: numeric.optional(),
			contactMs: numeric.optional(),
			holdMaxMs: numeric,
			retryBudgetRatio: numeric,
			retryBudgetSlack: numeric,
			budgetWindowS: numeric,
			coldOver: numeric.optional(),
			coldSlack: numeric.optional(),
			quotaWindowS: positive.optional(),
			quotaExcess: numeric.optional(),
			quotaSlack: numeric.optional(),
			strictRevoke: flag.optional(),
			revokeMs: numeric.optional(),
		}),
	}),
});

type Table = Map<string, Table | string>;

/** Parses the text of a settings file; every fault names the path of the setting. */
export function parseDeployment(text: string): Validated<Deployment> {
	const tables: Table = new Map();
	const faults: Fault[] = [];
	for (const [index, line] of text.split(/\r?\n/).entries()) {
		const equalsPos = line.indexOf('=');
		if (equalsPos > 0) {
			const path = line.slice(0, equalsPos).trim().split('.');
			setAt(tables, path, line.slice(equalsPos + 1).trim());
		} else if (line.trim() !== '' && !line.startsWith('#')) {
			faults.push({
				path: `line ${index + 1}`,
				message: `expected PATH=VALUE, found ${JSON.stringify(line)}`,
			});
		}
	}

	return faults.length > 0
		? Left(faults)
		: validate(settingsSchema, toObject(tables)).map((values) =>
				deploymentOf(values),
			);
}

function setAt(
	table: Table,
	[name, ...rest]: readonly string[],
	value: string,
) {
	if (rest.length === 0) {
		table.set(name, value);
		return;
	}

	const known = table.get(name);
	const inner =
		known instanceof Map ? known : new Map<string, Table | string>();
	table.set(name, inner);
	setAt(inner, rest, value);
}

function toObject(table: Table): unknown {
	return Object.fromEntries(
		[...table].map(([name, value]) => [
			name,
			value instanceof Map ? toObject(value) : value,
		]),
	);
}

type Settings = z.infer<typeof settingsSchema>;

function peerOf(
	{ip, limits: {cpuShare = 1, cores = 1}}: Settings['self'],
	{portRange}: Settings['network'],
): Deployment['peer'] {
	return ip === undefined || portRange === undefined
		? undefined
		: {
				address: {host: ip, port: portRange},
				capacity: cpuShare * cores,
			};
}

function deploymentOf({
	self,
	network,
	platform,
	kingcuproute,
	terms,
}: Settings): Deployment {
	const {bounds} = terms;
	const {memoryMb} = self.limits;
	const {bufferMb = memoryMb * bufferShare, crossDomainMsPerKb} = kingcuproute;
	const peer = peerOf(self, network);
	return {
		...(peer && {peer}),
		vm: self.node,
		failureDomain: self.zone,
		region: self.region,
		memoryLen: memoryMb * megabyteLen,
		bufferLen: bufferMb * megabyteLen,
		crossDomainMsPerKb,
		movedKeysShare: kingcuproute.movedKeysPerS,
		admissionDaemons: kingcuproute.admissionDaemons ?? defaultAdmissionDaemons,
		listen: {
			entry: network.listen.front,
			readiness: network.listen.ready,
		},
		store: {
			address: platform.platform.addr,
			writeRate: platform.platform.writesPerS,
			readRate: platform.platform.readsPerS,
		},
		serverReportMs: platform.heartbeatMs,
		bounds: {
			stopMs: bounds.graceS * secondMs,
			drainMs: bounds.drainMs ?? defaultDrainMs,
			outdatedMs: bounds.contactMs ?? defaultOutdatedMs,
			maxLeaseMs: bounds.holdMaxMs,
			retryShare: bounds.retryBudgetRatio,
			retrySlack: bounds.retryBudgetSlack,
			retryWindowMs: bounds.budgetWindowS * secondMs,
			coldFactor: bounds.coldOver ?? defaultColdFactor,
			coldSlack: bounds.coldSlack ?? defaultColdSlack,
			quotaWindowMs: (bounds.quotaWindowS ?? defaultQuotaWindowS) * secondMs,
			quotaExcess: bounds.quotaExcess ?? defaultQuotaExcess,
			quotaSlack: bounds.quotaSlack ?? defaultQuotaSlack,
			revokeMs: bounds.strictRevoke
				? (bounds.revokeMs ?? defaultRevokeMs)
				: Infinity,
		},
	};
}
