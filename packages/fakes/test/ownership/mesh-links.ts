/** Links between daemons: the others reach each daemon through its link, which can cut off any of them in either direction. */
import {Link, type Deployment, type RunningDaemon} from '../../src/index.js';

/** No bytes pass from the first VM's daemon to the second's. */
export type Cut = readonly [from: string, to: string];

export class MeshLinks {
	readonly #links = new Map<string, Link>();

	constructor(private readonly deployment: Deployment) {}

	/** Starts a daemon that advertises the address of a link in place of its own. */
	async daemon(
		vm: string,
		failureDomain: string,
		settings: Readonly<Record<string, unknown>>,
	): Promise<RunningDaemon> {
		const {deployment} = this;
		const link = new Link('', (near) => deployment.clientProcessName(near));
		this.#links.set(vm, link);
		const advertise = await link.listen();
		const mesh = {host: '127.0.0.1', port: 0, advertise};
		const daemon = await deployment.daemon(vm, failureDomain, {
			...settings,
			mesh,
		});
		link.setTarget(daemon.mesh);
		return daemon;
	}

	/** Makes these the only cuts in force; bytes under way are held, and arrive once their cut ends. */
	cut(...cuts: readonly Cut[]): void {
		const isCut = (from: string, to: string) =>
			cuts.some((cut) => cut[0] === from && cut[1] === to);
		const vms = [...this.#links.keys()];
		for (const [vm, link] of this.#links) {
			link.setFaults(
				...vms.map((other) => ({
					only: other,
					holdTo: isCut(other, vm),
					holdFrom: isCut(vm, other),
				})),
			);
		}
	}

	async close(): Promise<void> {
		await Promise.all(
			[...this.#links.values()].map(async (link) => link.close()),
		);
	}
}

/** The cuts that separate two groups, in both directions. */
export function cutsBetween(
	some: readonly RunningDaemon[],
	others: readonly RunningDaemon[],
): readonly Cut[] {
	return some.flatMap(({vm}) =>
		others.flatMap((other): readonly Cut[] => [
			[vm, other.vm],
			[other.vm, vm],
		]),
	);
}
