/** Finds the process at the remote end of a loopback connection, from Linux's /proc tables of sockets. */
import {readdirSync, readFileSync, readlinkSync} from 'node:fs';
import {type Socket} from 'node:net';

const tablePath = '/proc/net/tcp';
const inodeColumn = 9;

/** The first of the processes that has the connection's remote end open. */
export function ownerOf<P extends {readonly pid: number}>(
	near: Socket,
	processes: readonly P[],
): P | undefined {
	const inode = inodeOf(near.remotePort ?? 0, near.localPort ?? 0);
	return inode === undefined
		? undefined
		: processes.find(({pid}) => hasOpen(pid, `socket:[${inode}]`));
}

/** The inode of the remote end's socket, which the table lists with its own port as the local one. */
function inodeOf(local: number, remote: number): string | undefined {
	const rows = readFileSync(tablePath, 'utf8').split('\n').slice(1);
	const columns = rows.map((row) => row.trim().split(/\s+/));
	const row = columns.find(
		([, near = '', far = '']) =>
			portOf(near) === local && portOf(far) === remote,
	);
	return row?.[inodeColumn];
}

function portOf(address: string): number {
	return Number.parseInt(address.split(':')[1] ?? '', 16);
}

function hasOpen(pid: number, socket: string): boolean {
	const folder = `/proc/${pid}/fd`;
	try {
		return readdirSync(folder).some((fd) =>
			isLinkTo(`${folder}/${fd}`, socket),
		);
	} catch {
		return false;
	}
}

function isLinkTo(path: string, target: string): boolean {
	try {
		return readlinkSync(path) === target;
	} catch {
		return false;
	}
}
