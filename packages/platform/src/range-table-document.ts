/**
 * Key tables and the leases of their keepers, in the form stored on the platform. Each names
 * the era of the store in which it was written, so that one that a copy brought back is not
 * taken for one that holds in the present era.
 */
import {
	eraOf,
	firstEra,
	validate,
	maxKey,
	type Validated,
	type RangeTable,
} from '@kingcuproute/core';
import {z} from 'zod';
import {type Deployment} from './deployment.js';
import {ifReadable} from './if-readable.js';
import {type StoredObject} from './object-store.js';
import {reachableAddress} from './reachable-address.js';

export const rangeTablesKind = 'kingcuproute-range-tables';
export const keepersKind = 'kingcuproute-keepers';
/** Each daemon has an object of this kind while it is in service. */
export const daemonsKind = 'kingcuproute-daemons';

/** Half of the largest exact integer, so that a next fence always exists. */
const maxFence = 2 ** 52;

const key = z.number().int().min(0).max(maxKey);
const fence = z.number().int().positive().max(maxFence);
const range = z.tuple([key, key, z.string(), z.number(), fence]);
const table = z.object({
	service: z.string(),
	nextFence: fence,
	/** Columns: from, to, owner, start time of the owner, fence. */
	ranges: z
		.array(range)
		.max(maxKey + 1)
		.refine(coversAllKeys, 'expected every key once, in order, or none'),
});
const keeper = z.object({vm: z.string(), beat: z.number().int()});
const eraStamp = z.object({era: z.number().int()});
const daemon = z.object({
	failureDomain: z.string(),
	/** Where other daemons reach it, and its processor time per second in cores; a daemon without them is no peer. */
	address: ifReadable(reachableAddress),
	capacity: ifReadable(z.number().nonnegative()),
});

/** Which daemon keeps a service's key table; `vm` is empty once the keeper has given the lease up. */
export type Keeper = z.infer<typeof keeper>;

function coversAllKeys(ranges: ReadonlyArray<z.infer<typeof range>>): boolean {
	let next = 0;
	for (const [from, to] of ranges) {
		if (from !== next || to < from) {
			return false;
		}

		next = to + 1;
	}

	return next === 0 || next === maxKey + 1;
}

export function parseRangeTable(spec: unknown): Validated<RangeTable> {
	return validate(table, spec).map(({ranges, ...rest}) => ({
		...rest,
		ranges: ranges.map(([from, to, owner, ownerStartedAt, fence]) => ({
			from,
			to,
			owner,
			ownerStartedAt,
			fence,
		})),
	}));
}

export function rangeTableSpec({
	service,
	nextFence,
	ranges,
}: RangeTable): Record<string, unknown> {
	return {
		service,
		nextFence,
		ranges: ranges.map(({from, to, owner, ownerStartedAt, fence}) => [
			from,
			to,
			owner,
			ownerStartedAt,
			fence,
		]),
	};
}

/** The object with which a daemon registers itself. */
export function daemonSpec({
	failureDomain,
	peer,
}: Pick<Deployment, 'failureDomain' | 'peer'>): unknown {
	if (!peer) {
		return {failureDomain};
	}

	const {host, port} = peer.address;
	const name = host.includes(':') ? `[${host}]` : host;
	return {
		failureDomain,
		address: `${name}:${port}`,
		capacity: peer.capacity,
	};
}

/** Parses the object with which a daemon registers itself. */
export function parseDaemon(spec: unknown): Validated<z.infer<typeof daemon>> {
	return validate(daemon, spec);
}

/** `spec` of a table or lease, with the era of the store in which it is written. */
export function withEra(spec: Record<string, unknown>, era: number): unknown {
	return {...spec, era};
}

/** Whether the table or lease was written in the era in which it was read, not in one before it. Without an era it was written before tables and leases named one. */
export function isOfItsEra({spec, revision}: StoredObject): boolean {
	const era = eraOf(revision);
	const written = eraStamp.safeParse(spec).data?.era;
	return written === undefined ? era <= firstEra : written === era;
}

export function parseKeeper(spec: unknown): Validated<Keeper> {
	return validate(keeper, spec);
}
