/**
 * What every case needs: a record, a store, daemons, backend servers, clients that send
 * with ids of their own, and the end of all that when the case is over.
 */
import {randomBytes} from 'node:crypto';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {request} from './client.js';
import {Fleet} from './fleet.js';
import {Record} from './record.js';
import {Store} from './store.js';

/** A case that lasts longer than this is stuck. */
const maxMs = 110_000;

export class Case {
	store = new Store();
	fleet = new Fleet();
	/** The backend servers that are up. */
	backends = new Set();
	isOver = false;

	/** `url` is the address of the case's script; the record stands beside it. */
	constructor(url) {
		this.record = new Record(fileURLToPath(new URL('record.txt', url)));
	}

	/** Without it the case does the same, but for the disruption. */
	get hasTrouble() {
		return process.env.TROUBLE !== '0';
	}

	/**
	 * Plays the case and ends all that it started. `play` resolves with whether the rule
	 * held, which becomes the exit code.
	 */
	async run(play) {
		process.exitCode = 2;
		const guard = setTimeout(() => {
			this.#kill('stuck');
		}, maxMs);
		process.once('SIGTERM', () => {
			this.#kill('terminated');
		});
		try {
			process.exitCode = (await play()) ? 0 : 1;
		} catch (error) {
			this.record.add('not-run', {error: error.message});
		} finally {
			clearTimeout(guard);
			await this.#end();
		}
	}

	async #end() {
		this.isOver = true;
		await this.fleet.stop();
		this.store.stop();
		for (const backend of this.backends) {
			backend.crash();
		}
	}

	/** Ends the case before its time. */
	async #kill(reason) {
		this.record.add('not-run', {reason});
		await this.#end();
		process.exitCode = 2;
		process.kill(process.pid, 'SIGKILL');
	}

	/** Sends one request to a daemon; resolves with its id, the status and the time that it took. */
	async send(daemon, {path, method = 'GET', allowedMs, body, headers, agent}) {
		const id = randomBytes(8).toString('hex');
		this.record.add('sent', {id, method, path, daemon: daemon.name});
		const {status, tookMs, error} = await request({
			port: daemon.front,
			path,
			method,
			headers: {
				host: 'shop.example',
				'x-kingcuproute-request-id': id,
				'x-kingcuproute-deadline-ms': String(allowedMs),
				...headers,
			},
			body,
			agent,
			timeoutMs: allowedMs,
		});
		this.record.add('answered', {
			id,
			status,
			tookMs: Math.round(tookMs),
			...(error && {error}),
		});
		return {id, status, tookMs};
	}
}
