/** Parses the entries that backend servers keep in the platform's store. */
import {validate, type Validated, type ListedServer} from '@kingcuproute/core';
import {z} from 'zod';
import {type StoredObject} from './object-store.js';
import {reachableAddress} from './reachable-address.js';

/** The kind under which backend servers register. */
export const serversKind = 'servers';

/** Stands for the start time of a server that does not report one; its id alone then identifies its run. */
const unknownStart = 0;

/** More requests than any single process handles at once. */
const maxSlots = 65_536;
/** The id is sent in a header field of every request, so it must be printable ASCII. */
const id = /^[!-~]{1,255}$/;

const entry = z.object({
	name: z.string().regex(id, 'expected 1 to 255 printable characters'),
	addr: reachableAddress,
	born: z.number().int().nonnegative().optional(),
	info: z.object({
		service: z.string().min(1),
		zone: z.string().min(1),
		slots: z.number().int().positive().max(maxSlots),
	}),
	status: z.object({
		state: z.enum(['ready', 'draining']),
		coldLeftMs: z.number().nonnegative().optional(),
	}),
});

/** Parses one entry; its content is not trusted. */
export function parseListedServer({
	name,
	spec,
	status,
	rest,
}: StoredObject): Validated<ListedServer> {
	const specFields = typeof spec === 'object' && spec !== null ? spec : {};
	const body = {...rest, ...(status ? {status} : {}), ...specFields, name};
	return validate(entry, body).map(({addr, born, info, status: state}) => ({
		backendServer: name,
		startedAt: born ?? unknownStart,
		service: info.service,
		address: addr,
		failureDomain: info.zone,
		slots: info.slots,
		draining: state.state === 'draining',
		coldMs: state.coldLeftMs ?? 0,
	}));
}
