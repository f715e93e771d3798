/**
 * Parses the customers of the operators' configuration, with their API keys and quotas.
 * What can't be read costs the customer: a key that can't be read, or that two customers
 * have, is nobody's, and a limit that can't be read is the least one. Faults never show a
 * value, since it may be a key in the wrong place.
 */
import {type Customer} from '@kingcuproute/core';
import {z} from 'zod';
import {columnar, rowsOf, type Row} from './columnar-rows.js';
import {type FieldReader} from './field-reader.js';

/** Requests a second for a customer whose rate can't be read. */
const cautiousRate = 1;
/** The rank of a customer whose priority can't be read: after all others. */
const lastPriority = Number.MAX_SAFE_INTEGER;
/** Rates beyond it are no limits, and arithmetic with them would not be exact. */
const maxRate = 1e9;

/** Sent as a header field: control characters, and blanks at an end, would be lost or refused there. */
const customerName = z
	.string()
	.regex(
		/^[^\p{Cc}\p{Cs}\s]([^\p{Cc}\p{Cs}]*[^\p{Cc}\p{Cs}\s])?$/u,
		'expected a printable name',
	);
const apiKey = z
	.string()
	.regex(/^[\u{21}-\u{7E}]+$/u, 'expected printable ASCII without blanks');
const limit = z.number().nonnegative().optional();
const priority = z.number().int().nonnegative().optional();

/** A customer, and the path of its row. */
type CustomerAt = readonly [path: string, customer: Customer];

/** Undefined if the configuration has no list of customers. A list that can't be read counts as empty, which admits nobody. */
export function readCustomers(
	reader: FieldReader,
	tenants: unknown,
): readonly Customer[] | undefined {
	if (tenants === undefined || tenants === null) {
		return undefined;
	}

	const none: z.infer<typeof columnar> = {columns: [], rows: []};
	const list = reader.readConcealed('tenants', columnar, tenants, none);
	const rows = rowsOf(reader, 'tenants', list, 'readConcealed').flatMap(
		([path, row]): readonly CustomerAt[] => {
			const customer = readCustomer(reader, path, row);
			return customer ? [[path, customer]] : [];
		},
	);
	return withoutSharedKeys(reader, withoutSharedNames(reader, rows));
}

/** Without the rows whose customer an earlier row has named. */
function withoutSharedNames(
	reader: FieldReader,
	customers: readonly CustomerAt[],
): readonly CustomerAt[] {
	const names = new Set<string>();
	return customers.filter(([path, {name}]) => {
		const isNew = !names.has(name);
		names.add(name);
		if (!isNew) {
			reader.report(`${path}.name`, 'an earlier row has the same name');
		}

		return isNew;
	});
}

/** Undefined if the row has no name that could be read. */
function readCustomer(
	reader: FieldReader,
	path: string,
	row: Row,
): Customer | undefined {
	const field = <T>(name: string, schema: z.ZodType<T>, fallback: T): T =>
		reader.readConcealed(`${path}.${name}`, schema, row[name], fallback);
	const name = field('name', customerName, '');
	if (name === '') {
		return undefined;
	}

	const rate = field('ratePerS', limit, cautiousRate) ?? 0;
	return {
		name,
		keys: readKeys(reader, `${path}.apiKeys`, row),
		rate: rate === 0 || rate > maxRate ? Infinity : rate,
		burst: Math.min(maxRate, field('burst', limit, 0) ?? 0),
		priority: field('priority', priority, lastPriority),
	};
}

function readKeys(
	reader: FieldReader,
	path: string,
	{apiKeys}: Row,
): readonly string[] {
	const list = z.array(z.unknown()).optional();
	const keys = reader.readConcealed(path, list, apiKeys, []) ?? [];
	return keys.flatMap((key, index) => {
		const text = reader.readConcealed(`${path}.${index}`, apiKey, key, '');
		return text === '' ? [] : [text];
	});
}

function withoutSharedKeys(
	reader: FieldReader,
	customers: readonly CustomerAt[],
): readonly Customer[] {
	const owners = new Map<string, Set<string>>();
	for (const [, {name, keys}] of customers) {
		for (const key of keys) {
			owners.set(key, (owners.get(key) ?? new Set()).add(name));
		}
	}

	return customers.map(([path, customer]) => {
		const keys = customer.keys.filter((key) => owners.get(key)!.size === 1);
		if (keys.length < customer.keys.length) {
			reader.report(`${path}.apiKeys`, 'another customer has the same key');
		}

		return {...customer, keys};
	});
}
