/**
 * Parses the operators' configuration from its object in the platform's store.
 *
 * Only an unreadable version, or a list of routes or services that is missing, makes the
 * whole document unusable. Anything else that can't be read is replaced by its most
 * cautious reading: a route of an unknown kind is never retried, one without a readable
 * service is refused, and a service with an unreadable limit gets the least. The rows of
 * customers are read in customer-rows.ts.
 */
import {
	validate,
	type CallerLimits,
	type Fault,
	type RoutedService,
	type RoutePart,
	type RouteRule,
	type RoutingConfig,
	type Validated,
} from '@kingcuproute/core';
import {Left} from 'purify-ts';
import {z} from 'zod';
import {columnar, rowsOf, type Row} from './columnar-rows.js';
import {readCustomers} from './customer-rows.js';
import {FieldReader} from './field-reader.js';

/** The object that holds the complete latest configuration. */
export const configKind = 'config';
export const configName = 'main';
/** An object of this kind takes the failure domain of its name out of service. */
export const evacuationsKind = 'evacuations';

/** A configuration, and the parts of its document that were replaced or left out. */
export type RoutingReading = {
	readonly config: RoutingConfig;
	readonly faults: readonly Fault[];
};

const secondMs = 1000;
/** The rank of a route whose priority can't be read: after all others. */
const lastPriority = Number.MAX_SAFE_INTEGER;
/** Requests a second for a cold server whose service states an unreadable rate. */
const cautiousColdRate = 1;
/** Limits on callers until the configuration is read, and where its own can't be read: wide enough for any proper request. */
export const fallbackLimits: CallerLimits = {
	headerLen: 65_536,
	bodyLen: 67_108_864,
	headerMs: 10_000,
	idleMs: 30_000,
};

const part = z.object({
	service: z.string(),
	weight: z.number().nonnegative(),
});

const document = z.object({
	version: z
		.string()
		.regex(/^r\d+$/, 'expected r and a number')
		.refine(
			(text) => Number.isSafeInteger(Number(text.slice(1))),
			'expected a number that can be told from the next one',
		),
	routes: columnar,
	services: columnar,
	limits: z.unknown(),
	tenants: z.unknown().optional(),
});

const positive = z.number().positive();
const count = z.number().int().positive();
const rate = z.number().nonnegative();
const text = z.string();
const host = z.string().min(1);
const pathPrefix = z.string().startsWith('/').endsWith('/');
const healthPath = z.string().startsWith('/');
const routeKind = z.enum(['safe', 'unsafe', 'upload', 'download']);
/** Used as a part of paths. */
const serviceName = z
	.string()
	.regex(/^\P{Cs}+$/u, 'expected well-formed Unicode');

/** Parses the configuration in the object's body. */
export function parseRoutingConfig(spec: unknown): Validated<RoutingReading> {
	if (typeof spec !== 'object' || spec === null || Array.isArray(spec)) {
		// The message of a schema would show the value, which may contain API keys.
		return Left([{path: '(root)', message: 'expected an object'}]);
	}

	return validate(document, spec).map((read) => {
		const {version, routes, services, limits, tenants} = read;
		const reader = new FieldReader();
		const rules = rowsOf(reader, 'routes', routes).flatMap(
			([path, row]) => readRule(reader, path, row) ?? [],
		);
		const config = {
			version: Number(version.slice(1)),
			rules,
			services: rowsOf(reader, 'services', services).flatMap(
				([path, row]) => readService(reader, path, row) ?? [],
			),
			limits: readLimits(reader, limits),
			customers: readCustomers(reader, tenants),
		};
		return {config, faults: reader.faults};
	});
}

/** Undefined if the row doesn't say which requests the route is for. */
function readRule(
	reader: FieldReader,
	path: string,
	row: Row,
): RouteRule | undefined {
	const field = readerOfRow(reader, path, row);
	const ruleHost = field('host', host, '');
	const prefix = field('pathPrefix', pathPrefix, '');
	if (ruleHost === '' || prefix === '') {
		return undefined;
	}

	const timeoutMs = field('timeoutMs', positive, Infinity);
	const kind = field('routeKind', routeKind, 'unsafe');
	return {
		route: field('name', text, `${ruleHost}${prefix}`),
		host: ruleHost.toLowerCase(),
		pathPrefix: prefix,
		repeatability: kind === 'safe' || kind === 'download' ? 'safe' : 'unsafe',
		timeoutMs,
		targetMs: field('targetLatencyMs', positive, timeoutMs),
		priority: field('priority', z.number().int().nonnegative(), lastPriority),
		maxAttempts: field('maxAttempts', count, 1),
		isPublic: field('public', z.boolean().optional(), undefined) ?? false,
		parts: readParts(reader, path, row),
	};
}

/** Empty if the row names no service that could be read. */
function readParts(
	reader: FieldReader,
	path: string,
	{service, trafficSplit}: Row,
): readonly RoutePart[] {
	if (trafficSplit === undefined) {
		const name = reader.read(`${path}.service`, text, service, '');
		return name === '' ? [] : [{service: name, weight: 1}];
	}

	const splitPath = `${path}.trafficSplit`;
	const entries = reader.read(
		splitPath,
		z.array(z.unknown()),
		trafficSplit,
		[],
	);
	const parts = entries.flatMap((entry, index) => {
		const none: z.infer<typeof part> | undefined = undefined;
		const partPath = `${splitPath}.${index}`;
		return reader.read(partPath, part.optional(), entry, none) ?? [];
	});
	if (parts.some(({weight}) => weight > 0)) {
		return parts;
	}

	reader.report(splitPath, 'no part with a weight above 0');
	return [];
}

/** Undefined if the service has no name that could be read. */
function readService(
	reader: FieldReader,
	path: string,
	row: Row,
): RoutedService | undefined {
	const field = readerOfRow(reader, path, row);
	const name = field('name', serviceName, '');
	if (name === '') {
		return undefined;
	}

	const warmupS = field('warmupS', rate.optional(), undefined) ?? 0;
	return {
		service: name,
		healthPath: field('healthPath', healthPath, '/health'),
		connections: field('maxConns', count, 1),
		coldRate: field('coldPerS', rate.optional(), cautiousColdRate) ?? Infinity,
		coldMs: warmupS * secondMs,
		keyed: field('sharded', z.boolean().optional(), undefined) ?? false,
	};
}

function readLimits(reader: FieldReader, limits: unknown): CallerLimits {
	const row = reader.read('limits', z.looseObject({}), limits, {});
	const field = readerOfRow(reader, 'limits', row);
	const {headerLen, bodyLen, headerMs, idleMs} = fallbackLimits;
	return {
		headerLen: field('maxHeaderBytes', count, headerLen),
		bodyLen: field('maxBodyBytes', count, bodyLen),
		headerMs: field('headerTimeoutMs', positive, headerMs),
		idleMs: field('idleTimeoutMs', positive, idleMs),
	};
}

function readerOfRow(reader: FieldReader, path: string, row: Row) {
	return <T>(name: string, schema: z.ZodType<T>, fallback: T): T =>
		reader.read(`${path}.${name}`, schema, row[name], fallback);
}
