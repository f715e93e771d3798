/** Parses the operators' configuration from its object in the platform's store. */
import {
	validate,
	type Validated,
	type RoutedService,
	type RouteRule,
	type RoutingConfig,
} from '@kingcuproute/core';
import {Left} from 'purify-ts';
import {z} from 'zod';

/** The object that holds the complete latest configuration. */
export const configKind = 'config';
export const configName = 'main';
/** An object of this kind takes the failure domain of its name out of service. */
export const evacuationsKind = 'evacuations';

const secondMs = 1000;

const columnar = z.object({
	columns: z.array(z.string()),
	rows: z.array(z.array(z.unknown())),
});

const part = z.object({
	service: z.string(),
	weight: z.number().nonnegative(),
});

const route = z.object({
	name: z.string(),
	host: z.string(),
	pathPrefix: z.string().startsWith('/').endsWith('/'),
	routeKind: z.enum(['safe', 'unsafe', 'upload']),
	timeoutMs: z.number().positive(),
	targetLatencyMs: z.number().positive(),
	priority: z.number().int().nonnegative(),
	maxAttempts: z.number().int().positive(),
	service: z.string().optional(),
	trafficSplit: z.array(part).optional(),
});

const service = z.object({
	/** Used as a part of paths. */
	name: z.string().regex(/^\P{Cs}+$/u, 'expected well-formed Unicode'),
	healthPath: z.string().startsWith('/'),
	maxConns: z.number().int().positive(),
	warmupS: z.number().nonnegative().optional(),
	coldPerS: z.number().nonnegative().optional(),
	sharded: z.boolean().optional(),
});

const config = z.object({
	version: z
		.string()
		.regex(/^r\d+$/, 'expected r and a number')
		.refine(
			(text) => Number.isSafeInteger(Number(text.slice(1))),
			'expected a number that can be told from the next one',
		),
	routes: columnar,
	services: columnar,
	limits: z.object({
		maxHeaderBytes: z.number().int().positive(),
		maxBodyBytes: z.number().int().positive(),
		headerTimeoutMs: z.number().positive(),
		idleTimeoutMs: z.number().positive(),
	}),
});

/** Parses the configuration in the object's body. */
export function parseRoutingConfig(spec: unknown): Validated<RoutingConfig> {
	return validate(config, spec).chain(({version, limits, ...lists}) => {
		const routes = validate(z.array(route), objectsOf(lists.routes));
		const services = validate(z.array(service), objectsOf(lists.services));
		return routes.chain((rows) => {
			const unroutable = rows.find(
				({service: only, trafficSplit}) =>
					only === undefined && !trafficSplit?.some(({weight}) => weight > 0),
			);
			return unroutable
				? Left([
						{
							path: `routes.${unroutable.name}`,
							message: 'neither a service nor a split with a weight above 0',
						},
					])
				: services.map((list) => ({
						version: Number(version.slice(1)),
						rules: rows.map((row) => ruleOf(row)),
						services: list.map((row) => serviceOf(row)),
						limits: {
							headerLen: limits.maxHeaderBytes,
							bodyLen: limits.maxBodyBytes,
							headerMs: limits.headerTimeoutMs,
							idleMs: limits.idleTimeoutMs,
						},
					}));
		});
	});
}

/** One object for each row; null in a row stands for an absent field. */
function objectsOf({columns, rows}: z.infer<typeof columnar>) {
	return rows.map((row) =>
		Object.fromEntries(
			columns.flatMap((column, index) => {
				const value = row[index];
				return value === null || value === undefined ? [] : [[column, value]];
			}),
		),
	);
}

function ruleOf(row: z.infer<typeof route>): RouteRule {
	return {
		route: row.name,
		host: row.host.toLowerCase(),
		pathPrefix: row.pathPrefix,
		repeatability: row.routeKind === 'safe' ? 'safe' : 'unsafe',
		timeoutMs: row.timeoutMs,
		targetMs: row.targetLatencyMs,
		priority: row.priority,
		maxAttempts: row.maxAttempts,
		parts: row.trafficSplit ?? [{service: row.service!, weight: 1}],
	};
}

function serviceOf(row: z.infer<typeof service>): RoutedService {
	return {
		service: row.name,
		healthPath: row.healthPath,
		connections: row.maxConns,
		coldRate: row.coldPerS ?? Infinity,
		coldMs: (row.warmupS ?? 0) * secondMs,
		keyed: row.sharded ?? false,
	};
}
