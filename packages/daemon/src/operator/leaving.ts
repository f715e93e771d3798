/** Backend servers that are out of service, and the slices that they still have to hand over. */
import {tableInForce, type BackendServer, type View} from '@kingcuproute/core';

/** A backend server that is out, by itself or with its failure domain. */
export type LeavingServer = {
	readonly backendServer: string;
	readonly failureDomain: string;
	/** Slices that it still owns. */
	readonly slicesLeft: number;
};

/** The backend servers that are out, with the number of slices that each still owns. */
export function leavingServers(view: View): readonly LeavingServer[] {
	return view
		.all('backend-server')
		.filter((server) => isOut(view, server))
		.map(({backendServer, failureDomain, service}) => {
			const rows = tableInForce(view, service)?.rows ?? [];
			const slicesLeft = rows.filter(
				({owner}) => owner === backendServer,
			).length;
			return {backendServer, failureDomain, slicesLeft};
		});
}

function isOut(view: View, {out, failureDomain}: BackendServer): boolean {
	return out || (view.get('failure-domain', failureDomain)?.out ?? false);
}
