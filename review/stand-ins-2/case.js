/** What the scripts of all cases share: the record, waiting, a client, the desired state, and the end. */
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {Agent, request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';

export const hasTrouble = process.env.TROUBLE !== '0';
const exitCodes = {held: 0, broken: 1, unable: 2};
/** A case runs for 120 seconds at most. */
const maxRunMs = 110_000;

export async function pause(ms) {
	await new Promise((resolve) => {
		setTimeout(resolve, ms);
	});
}

export async function until(what, isTrue, ms = 15_000) {
	const end = performance.now() + ms;
	while (!(await isTrue())) {
		if (performance.now() > end) {
			throw new Error(`not within ${ms} ms: ${what}`);
		}

		await pause(50);
	}
}

/** The operator's desired state; `kinds` holds the kinds of the routes by path prefix. */
export function desiredState(service, kinds, {sharded = null} = {}) {
	return {
		version: 'r1',
		routes: {
			columns: [
				'name',
				'host',
				'pathPrefix',
				'routeKind',
				'timeoutMs',
				'targetLatencyMs',
				'priority',
				'trafficSplit',
				'maxAttempts',
				'service',
			],
			rows: Object.entries(kinds).map(([prefix, kind]) => [
				`route${prefix}`,
				'clock.example',
				prefix,
				kind,
				1500,
				600,
				1,
				null,
				2,
				service,
			]),
		},
		services: {
			columns: [
				'name',
				'healthPath',
				'maxConns',
				'protocol',
				'tls',
				'warmupS',
				'coldPerS',
				'sharded',
				'warmS',
				'grants',
			],
			rows: [
				[
					service,
					'/health',
					130,
					'h1',
					false,
					3,
					2.8,
					sharded,
					sharded && 5,
					sharded && 'call',
				],
			],
		},
		limits: {
			maxHeaderBytes: 16_384,
			maxBodyBytes: 67_108_864,
			headerTimeoutMs: 3000,
			idleTimeoutMs: 15_000,
		},
	};
}

/** Sends one request on a connection of its own; resolves with the status, or the error's code. */
export async function send(port, {method = 'GET', target, id, key}) {
	const req = request({
		port,
		method,
		path: target,
		agent: new Agent(),
		headers: {
			host: 'clock.example',
			'x-kingcuproute-request-id': id,
			'x-kingcuproute-deadline-ms': '1500',
			...(key !== undefined && {'x-kingcuproute-shard-key': String(key)}),
		},
	});
	req.end();
	try {
		const [res] = await once(req, 'response');
		const chunks = await res.toArray();
		return {status: res.statusCode, text: chunks.join('')};
	} catch (error) {
		return {status: error.code ?? 'cut', text: ''};
	}
}

/** Runs a case in `folder`: `play` gets a temporary folder and functions to record, and returns what broke the rule. */
export async function runCase(folder, play) {
	const startedAt = performance.now();
	const lines = [];
	const now = () => Math.round(performance.now() - startedAt);
	const record = (text) => {
		lines.push(`${String(now()).padStart(6)} ms  ${text}`);
	};

	const temporary = mkdtempSync(path.join(tmpdir(), 'review-'));
	const parts = [];
	let result = 'unable';
	const finish = async () => {
		await Promise.allSettled(parts.map(async (part) => part.stop()));
		rmSync(temporary, {recursive: true, force: true});
		record(`result: ${result}`);
		writeFileSync(path.join(folder, 'record.txt'), lines.join('\n') + '\n');
		process.exit(exitCodes[result]); // eslint-disable-line unicorn/no-process-exit
	};

	setTimeout(() => {
		record('the case took too long');
		finish();
	}, maxRunMs);
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.on(signal, () => {
			finish();
		});
	}

	try {
		const own = (part) => {
			parts.push(part);
			return part;
		};

		record(`trouble: ${hasTrouble}`);
		const broken = await play({temporary, record, now, own});
		for (const text of broken) {
			record(`BROKEN ${text}`);
		}

		result = broken.length > 0 ? 'broken' : 'held';
	} catch (error) {
		record(`could not run: ${error.stack}`);
	}

	await finish();
}
