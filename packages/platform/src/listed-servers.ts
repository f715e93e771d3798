/** Takes backend servers from the entries that they keep in the platform's store. */
import {checked, type Checked, type ListedServer} from '@kingcuproute/core';
import {z} from 'zod';
import {type StoredObject} from './object-store.js';

/** The kind under which backend servers register. */
export const serversKind = 'servers';

/** Missing where a server's start is not told: then its id alone tells its run. */
const untoldStart = 0;

const entry = z.object({
	addr: z.string().regex(/^[^:\s]+:\d{1,5}$/, 'expected HOST:PORT'),
	born: z.number().int().nonnegative().optional(),
	info: z.object({
		service: z.string().min(1),
		zone: z.string().min(1),
		slots: z.number().int().positive(),
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
	const body = {...rest, ...(status ? {status} : {}), ...said};
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
