/**
 * The daemon's settings: one JSON file that is checked as a whole before anything
 * starts. Durations are in ms. docs/SETTINGS.md describes each setting.
 */
import {readFileSync} from 'node:fs';
import {validate, type Validated} from '@kingcuproute/core';
import {Left} from 'purify-ts';
import {z} from 'zod';
import {levels} from '../log/log.js';
import {keysSettings} from './keys-settings.js';
import {fleetSettings} from './fleet-settings.js';
import {ownershipSettings} from './ownership-settings.js';
import {placementSettings} from './placement-settings.js';
import {requestsSettings} from './requests-settings.js';
import {balanceSettings} from './balance-settings.js';
import {limitsSettings} from './limits-settings.js';
import {listener} from './listener.js';
import {meshSettings} from './mesh-settings.js';

const name = z
	.string()
	.regex(/^[a-z\d][a-z\d-]{0,62}$/, 'lower case letters, digits and hyphens');

export const settingsSchema = z.strictObject({
	vm: name,
	failureDomain: name,
	region: name.default('main'),
	platform: z.strictObject({
		origin: z.url(),
		timeoutMs: z.number().int().min(10).max(60_000).default(1500),
	}),
	fleet: fleetSettings,
	entry: listener,
	mesh: meshSettings,
	operator: listener,
	log: z
		.strictObject({
			level: z.enum(levels).default('info'),
			/** One in this many routing lines is written; 1 writes them all. */
			routingSample: z.number().int().min(1).default(1),
		})
		.prefault({}),
	ownership: ownershipSettings,
	keys: keysSettings,
	placement: placementSettings,
	requests: requestsSettings,
	balance: balanceSettings,
	limits: limitsSettings,
	stop: z
		.strictObject({
			/** How long readiness is false before requests are refused, so that the load balancer can notice. */
			noticeMs: z.number().int().min(0).max(600_000).default(1000),
			/** How long requests in flight may take after a stop is requested. */
			drainMs: z.number().int().min(0).max(3_600_000).default(30_000),
		})
		.prefault({}),
});

/** Valid settings. */
export type Settings = Readonly<z.infer<typeof settingsSchema>>;

/** Checks settings that have been parsed as JSON. */
export function parseSettings(json: unknown): Validated<Settings> {
	return validate(settingsSchema, json);
}

/** Reads and checks a settings file. */
export function readSettings(file: string): Validated<Settings> {
	try {
		return parseSettings(JSON.parse(readFileSync(file, 'utf8')));
	} catch (error) {
		return Left([
			{
				path: file,
				message: error instanceof Error ? error.message : String(error),
			},
		]);
	}
}
