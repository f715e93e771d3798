/**
 * Checks which servers would serve a key for a daemon with any table so far, however
 * old, and whether a row at an epoch covers the same keys in every table.
 */
import {rowIndexOf, type SliceTable} from '../../src/index.js';
import {type ModelServer} from './model-server.js';

export const keys = ['a', 'b', 'c', 'd', 'e', 'f'];

type Route = {
	readonly row: number;
	readonly epoch: number;
	readonly owner: string;
};

export class KeyOwners {
	readonly #recorded = new WeakSet<SliceTable>();
	readonly #rowKeys = new Map<string, string>();
	readonly #routes = new Map(
		keys.map((key) => [key, new Map<string, Route>()]),
	);

	/** Records how a daemon with this table routes each key; returns the rows that covered other keys before. */
	record(table: SliceTable | undefined): readonly string[] {
		if (!table || this.#recorded.has(table)) {
			return [];
		}

		this.#recorded.add(table);
		for (const [key, routes] of this.#routes) {
			const row = rowIndexOf(table, key);
			const {owner, epoch} = table.rows[row];
			routes.set(`${row}@${epoch} ${owner}`, {row, epoch, owner});
		}

		return table.rows.flatMap(({epoch, owner}, row) => {
			const rowKeys = keys
				.filter((key) => rowIndexOf(table, key) === row)
				.join(' ');
			const id = `${row}@${epoch}`;
			const earlierKeys = this.#rowKeys.get(id) ?? rowKeys;
			if (owner !== '') {
				this.#rowKeys.set(id, earlierKeys);
			}

			return owner === '' || earlierKeys === rowKeys
				? []
				: [`${id} was for ${earlierKeys} and is for ${rowKeys}`];
		});
	}

	/** Keys that more than one server would serve now. */
	doubled(
		servers: readonly ModelServer[],
		at: number,
	): ReadonlyArray<readonly [string, string]> {
		const held = new Map(
			servers.map((server) => [server.name, server.owned(at)]),
		);
		return [...this.#routes].flatMap(([key, routes]) => {
			const names = new Set(
				[...routes.values()]
					.filter(({row, epoch, owner}) => held.get(owner)?.get(row) === epoch)
					.map(({owner}) => owner),
			);
			return names.size > 1 ? [[key, [...names].join(' ')] as const] : [];
		});
	}
}
