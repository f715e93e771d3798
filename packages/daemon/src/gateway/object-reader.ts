/** Parses objects of the platform's store, each once, and logs and counts what can't be read. */
import {
	fold,
	revisionText,
	type Fault,
	type Validated,
} from '@kingcuproute/core';
import {type StoredObject} from '@kingcuproute/platform';
import {type Log} from '../log/log.js';
import {type GatewayMetrics} from './gateway-metrics.js';
import {type Objects} from './kind-follower.js';

const maxFaultsLogged = 5;

export class ObjectReader {
	/** Each object belongs to one kind, and so to one parser. */
	readonly #parsed = new WeakMap<StoredObject, Validated<unknown>>();
	/** Revision by object path of objects that could not be parsed, so that each is logged once. */
	readonly #unreadable = new Map<string, number>();

	constructor(
		private readonly metrics: GatewayMetrics,
		private readonly log: Log,
	) {}

	/** The readable ones of `objects`, parsed. An object that has not changed is not parsed again. */
	readAll<T>(
		kind: string,
		objects: Objects | undefined,
		parse: (object: StoredObject) => Validated<T>,
	): T[] {
		const values: T[] = [];
		for (const object of objects?.values() ?? []) {
			let parsed = this.#parsed.get(object) as Validated<T> | undefined;
			if (!parsed) {
				parsed = parse(object);
				this.#parsed.set(object, parsed);
			}

			fold(
				parsed,
				(faults) => {
					this.logUnreadable(kind, object, faults);
				},
				(value) => {
					values.push(value);
				},
			);
		}

		return values;
	}

	logUnreadable(
		kind: string,
		{name, revision}: StoredObject,
		faults: readonly Fault[],
	): void {
		const object = `${kind}/${name}`;
		if (this.#unreadable.get(object) !== revision) {
			this.#unreadable.set(object, revision);
			const [{path, message}] = faults;
			this.metrics.unreadable(kind, 1);
			this.log.warn('object-unreadable', {
				object,
				revision: revisionText(revision),
				path,
				message,
			});
		}
	}

	/** Logs the parts of an object that can't be read and were replaced by cautious values; the rest is in force. */
	logReplacedParts(
		kind: string,
		{name, revision}: StoredObject,
		faults: readonly Fault[],
	): void {
		if (faults.length === 0) {
			return;
		}

		const object = `${kind}/${name}`;
		const parts = faults
			.slice(0, maxFaultsLogged)
			.map(({path, message}) => `${path}: ${message}`)
			.join('; ');
		const count = faults.length;
		this.metrics.unreadable(kind, count);
		this.log.warn('config-partly-unreadable', {
			object,
			revision: revisionText(revision),
			count,
			parts,
		});
	}
}
