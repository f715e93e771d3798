/** Takes backend servers from the entries that they keep in the platform's store. */
import {checked, type Checked, type ListedServer} from '@kingcuproute/core';
import {z} from 'zod';
import {type StoredObject} from './object-store.js';
import {reachableAddress} from './reachable-address.js';

/** The kind under which backend servers register. */
export const serversKind = 'servers';

/** Missing where a server's start is not told: then its id alone tells its run. */
const untoldStart = 0;

/** More than one process runs at once, whatever it is. */
const maxSlots = 65_536;
/** An id goes into a header field of every request. */
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

/** The server of an entry; anything may have written it. */
export function parseListedServer({
	name,
	spec,
	status,
	rest,
}: StoredObject): Checked<ListedServer> {
	const said = typeof spec === 'object' && spec !== null ? spec : {};
	const body = {...rest, ...(status ? {status} : {}), ...said, name};
	return checked(entry, body).map(({addr, born, info, status: state}) => ({
		backendServer: name,
		startedAt: born ?? untoldStart,
		service: info.service,
		address: addr,
		failureDomain: info.zone,
		slots: info.slots,
		draining: state.state === 'draining',
		coldMs: state.coldLeftMs ?? 0,
	}));
}
