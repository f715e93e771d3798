/** Checks that no slice has two owners, and that the owner of a slice at an epoch never changes. */
import {type SliceTable} from '../../src/index.js';
import {type ModelServer} from './model-server.js';

export class SliceOwners {
	readonly #owners = new Map<string, string>();

	/** Descriptions of the violations at a time of the simulation. */
	violations(
		servers: readonly ModelServer[],
		{rows}: SliceTable,
		at: number,
	): readonly string[] {
		return rows.flatMap(({owner, epoch}, slice) => {
			const owners = servers.filter((server) => server.owned(at).has(slice));
			const names = owners.map(({name}) => name).join(' ');
			const multipleOwners =
				owners.length > 1 ? [`${at}: slice ${slice} owned by ${names}`] : [];
			const held = owners.flatMap((server) =>
				this.#recordOwner(slice, server.owned(at).get(slice)!, server.name, at),
			);
			const written =
				owner === '' ? [] : this.#recordOwner(slice, epoch, owner, at);
			return [...multipleOwners, ...held, ...written];
		});
	}

	#recordOwner(
		slice: number,
		epoch: number,
		owner: string,
		at: number,
	): readonly string[] {
		const id = `${slice}@${epoch}`;
		const firstOwner = this.#owners.get(id) ?? owner;
		this.#owners.set(id, firstOwner);
		return firstOwner === owner
			? []
			: [`${at}: ${id} was of ${firstOwner} and is of ${owner}`];
	}
}
