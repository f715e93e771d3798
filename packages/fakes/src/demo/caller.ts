/** The caller of the demonstration: reads, keyed reads and bookings through every daemon. */
import process from 'node:process';
import {request} from 'undici';
import {type Run} from '../server/fake-backend-server.js';
import {type Started} from './four-domains.js';

const customer = 'tiktak-haus';
const reads = 30;
const keys = 12;
const readyMs = 15_000;
const pauseMs = 200;

type Answer = {
	readonly status: number;
	readonly backendServer: string | undefined;
};

export class Caller {
	constructor(private readonly started: Started) {}

	/** Sends everything; true only if every answer was right. */
	async run(): Promise<boolean> {
		await this.#untilOwned();
		const read = await this.#read();
		const keyed = await this.#readByKey();
		const booked = await this.#book();
		await this.#decisions();
		return read && keyed && booked;
	}

	async #untilOwned(): Promise<void> {
		const deadline = performance.now() + readyMs;
		for (const {entry} of this.started.daemons) {
			for (let index = 0; index < keys; index++) {
				while (!(await this.#isServed(entry, `key-${index}`))) {
					if (performance.now() > deadline) {
						throw new Error(
							`${entry}: no owner for key-${index} in ${readyMs} ms`,
						);
					}

					await new Promise((resolve) => {
						setTimeout(resolve, pauseMs);
					});
				}
			}
		}
	}

	async #isServed(entry: string, key: string): Promise<boolean> {
		const {status} = await this.#send(entry, 'GET', '/ticket-desk/ready', key);
		return status === 200;
	}

	async #read(): Promise<boolean> {
		const answers = await Promise.all(
			Array.from({length: reads}, async (_, index) =>
				this.#send(this.#entry(index), 'GET', `/kaha/${index}`),
			),
		);
		const served = answers.filter(({status}) => status === 200);
		const by = new Set(served.map(({backendServer}) => backendServer));
		process.stdout.write(
			`reads: ${served.length} of ${reads} served, by ${by.size} backend servers\n`,
		);
		return served.length === reads;
	}

	async #readByKey(): Promise<boolean> {
		let right = true;
		for (let index = 0; index < keys; index++) {
			const key = `key-${index}`;
			const answers = await Promise.all(
				this.started.daemons.map(async ({entry}) =>
					this.#send(entry, 'GET', '/ticket-desk/repair', key),
				),
			);
			const owners = new Set(answers.map(({backendServer}) => backendServer));
			const one =
				owners.size === 1 && answers.every(({status}) => status === 200);
			process.stdout.write(
				`${key}: owner ${[...owners].join(' ')}${one ? '' : ' WRONG'}\n`,
			);
			right &&= one;
		}

		return right;
	}

	async #book(): Promise<boolean> {
		const paths = Array.from(
			{length: keys},
			(_, index) => `/ticket-desk/deposit/${index}`,
		);
		const answers = await Promise.all(
			paths.map(async (path, index) =>
				this.#send(this.#entry(index), 'POST', path, `key-${index}`),
			),
		);
		const runs = await this.#runs('POST');
		const once = paths.filter(
			(path) => runs.filter((run) => run.path === path).length === 1,
		);
		process.stdout.write(
			`bookings: ${once.length} of ${paths.length} ran once\n`,
		);
		return (
			answers.every(({status}) => status === 200) &&
			once.length === paths.length
		);
	}

	async #decisions(): Promise<void> {
		const lines = this.started.daemons.flatMap(({child}) => child.lines);
		const routed = lines.filter((line) => line.includes('event=routed')).length;
		const refused = lines.filter((line) =>
			line.includes('event=refused'),
		).length;
		process.stdout.write(
			`decisions: ${routed} routed, ${refused} refused before every slice had its owner\n`,
		);
	}

	async #runs(method: string): Promise<readonly Run[]> {
		const journals = await Promise.all(
			this.started.servers.map(async ({address}) => {
				const res = await request(`http://${address}/journal`);
				return (await res.body.json()) as readonly Run[];
			}),
		);
		return journals.flat().filter((run) => run.method === method);
	}

	#entry(index: number): string {
		const {daemons} = this.started;
		return daemons[index % daemons.length].entry;
	}

	async #send(
		entry: string,
		method: 'GET' | 'POST',
		path: string,
		key?: string,
	): Promise<Answer> {
		const headers: Record<string, string> = {
			'x-customer': customer,
			...(key && {'x-key': key}),
		};
		const body = method === 'POST' ? 'deposit' : undefined;
		const res = await request(`http://${entry}${path}`, {
			method,
			headers,
			...(body && {body}),
		});
		const answer = (await res.body.json()) as {backendServer?: string};
		return {status: res.statusCode, backendServer: answer.backendServer};
	}
}
