/**
 * The share of a service's load that each fit server should have. Failure domains get
 * even shares, within the limits of `maxDomainSkew` if their capacities differ; servers
 * in one domain get shares in proportion to their capacities. The shares are computed
 * over all configured servers and then scaled up over the fit ones, so that the loss of
 * a server shifts no load between the others. Shares sum to 1.
 */
import {type ServerPool} from './server-pool.js';
import {type Situation} from './situation.js';

/** Target shares by server name; empty if no server is fit. */
export function targetShares(
	pool: ServerPool,
	{capacities, policy}: Pick<Situation, 'capacities' | 'policy'>,
): ReadonlyMap<string, number> {
	const capacity = (name: string) => capacities.get(name) ?? 1;
	const total = sum(pool.all.map((name) => capacity(name)));
	const domains = byDomain(pool);
	const evenShare = 1 / domains.size;
	const domainShares = [...domains].map(([, names]) => {
		const part = sum(names.map((name) => capacity(name))) / total;
		const minShare = part / policy.maxDomainSkew;
		const maxShare = part * policy.maxDomainSkew;
		return {
			names,
			part,
			share: Math.min(maxShare, Math.max(minShare, evenShare)),
		};
	});
	const nominal = new Map(
		domainShares.flatMap(({names, part, share}) =>
			names.map((name) => [name, (share * capacity(name)) / (part * total)]),
		),
	);
	const scale = sum(pool.fit.map((name) => nominal.get(name)!));
	return new Map(pool.fit.map((name) => [name, nominal.get(name)! / scale]));
}

function byDomain(pool: ServerPool): ReadonlyMap<string, readonly string[]> {
	const domains = new Map<string, readonly string[]>();
	for (const name of pool.all) {
		const domain = pool.domain(name);
		domains.set(domain, [...(domains.get(domain) ?? []), name]);
	}

	return domains;
}

function sum(numbers: readonly number[]): number {
	let total = 0;
	for (const number of numbers) {
		total += number;
	}

	return total;
}
