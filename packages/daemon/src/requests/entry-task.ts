/** Accepts callers' requests over HTTP/1.1 and runs an exchange for each. */
import {randomUUID} from 'node:crypto';
import {
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {
	Clock,
	deadlineField,
	deadlineOf,
	headerFault,
	type Refusal,
} from '@kingcuproute/core';
import {inject, singleton} from 'tsyringe';
import {ConfigTask} from '../fleet/config-task.js';
import {Log} from '../log/log.js';
import {SliceLoad} from '../placement/slice-load.js';
import {type Settings} from '../settings/settings.js';
import {Task} from '../task/task.js';
import {BalanceTask} from '../balance/balance-task.js';
import {LimitsTask} from '../limits/limits-task.js';
import {type CallerRequest, type Dependencies} from './caller-request.js';
import {MutableRetryBudget} from './budget.js';
import {Choice} from './choice.js';
import {entryServer} from './entry-server.js';
import {Exchange} from './exchange.js';
import {KeyTask} from './keys/key-task.js';
import {type RequestHead} from './route.js';
import {QuarantineTask} from './quarantine/quarantine-task.js';
import {RequestBody} from './request-body.js';
import {RequestMetrics, type RequestOutcome} from './request-metrics.js';
import {RoutingTask} from './routing-task.js';
import {sendRefusal} from './refusal-answer.js';
import {ServerConnections} from './server-connections.js';

const defaultDeadlineMs = 5000;

@singleton()
export class EntryTask extends Task {
	port = 0;
	readonly #deps: Dependencies;
	readonly #server: Server;
	readonly #exchanges = new Set<Exchange>();
	#stopping = false;
	#unsubscribe: (() => void) | undefined;

	constructor(
		@inject(ConfigTask) private readonly config: ConfigTask,
		@inject(RoutingTask) routing: RoutingTask,
		@inject(KeyTask) keys: KeyTask,
		@inject(QuarantineTask) quarantine: QuarantineTask,
		@inject('Settings') private readonly settings: Settings,
		@inject(SliceLoad) sliceLoad: SliceLoad,
		@inject('Clock') private readonly clock: Clock,
		@inject(BalanceTask) balance: BalanceTask,
		@inject(LimitsTask) limits: LimitsTask,
		@inject(RequestMetrics) private readonly metrics: RequestMetrics,
		@inject(Log) private readonly log: Log,
	) {
		super();
		const {requests} = settings;
		const connections = new ServerConnections(requests, clock);
		const budget = new MutableRetryBudget({
			share: requests.retryShare,
			burst: requests.retryBurst,
		});
		this.#deps = {
			settings,
			clock,
			balance,
			choice: new Choice(balance, quarantine),
			limits,
			log,
			metrics,
			routing,
			connections,
			budget,
			keys,
			quarantine,
			sliceLoad,
		};
		this.#server = entryServer(requests, (req, res) => {
			void this.#handle(req, res);
		});
	}

	override async start(): Promise<void> {
		const {host, port} = this.settings.entry;
		await new Promise<void>((resolve) => {
			this.#server.listen(port, host, resolve);
		});
		this.port = (this.#server.address() as AddressInfo).port;
		this.#unsubscribe = this.config.view.subscribe((view) => {
			const servers = view.all('backend-server');
			this.#deps.connections.retainOnly(
				new Set(servers.map(({address}) => address)),
			);
		});
	}

	/**
	 * For `noticeMs`, answers requests with `connection: close`; then accepts no more
	 * and lets the requests in flight end. Those still running after `drainMs` are cut.
	 */
	override async stop(): Promise<void> {
		const {noticeMs, drainMs} = this.settings.stop;
		this.#stopping = true;
		await this.clock.sleep(noticeMs);
		const cancel = this.clock.after(drainMs, () => {
			this.cut();
		});
		await new Promise((resolve) => {
			this.#server.close(resolve);
		});
		cancel();
		this.#unsubscribe?.();
		await this.#deps.connections.close();
	}

	/** Logs the requests still in flight and closes all connections of callers. */
	cut(): void {
		for (const {request} of this.#exchanges) {
			const {customer, service} = request.head;
			this.log.warn('cut-by-stop', {id: request.id, customer, service});
		}

		this.#server.closeAllConnections();
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const id = randomUUID();
		const head = headOf(req);
		const fault = this.#faultOf(req);
		const allowedMs = deadlineOf(
			textOf(req.headers[deadlineField]),
			this.#defaultDeadlineMs(head),
		);
		if (this.#stopping || fault) {
			res.shouldKeepAlive = false;
		}

		if (fault ?? allowedMs === undefined) {
			const message = fault ?? `${deadlineField} is not a number of ms`;
			this.#refuse({id, head, req, res}, message);
			return;
		}

		const arrivedAt = this.clock.now();
		const deadline = arrivedAt + allowedMs;
		const request = {id, head, arrivedAt, deadline, req, res};
		await this.#run(new Exchange(this.#deps, request));
	}

	async #run(exchange: Exchange): Promise<void> {
		this.#exchanges.add(exchange);
		const {req, res, head, arrivedAt} = exchange.request;
		let outcome: RequestOutcome = 'failed';
		try {
			outcome = await exchange.run();
		} catch (error) {
			this.log.error('request-fault', {
				id: exchange.request.id,
				error: String(error),
			});
			res.destroy();
		} finally {
			this.#exchanges.delete(exchange);
			const ms = this.clock.now() - arrivedAt;
			this.metrics.ended(head.service, outcome, ms);
			if (!req.complete) {
				RequestBody.drop(req);
			}
		}
	}

	#faultOf(req: IncomingMessage): string | undefined {
		const {maxBodyLen} = this.settings.requests;
		return (
			headerFault(req.rawHeaders, req.httpVersion) ??
			(Number(req.headers['content-length'] ?? 0) > maxBodyLen
				? `body longer than ${maxBodyLen} bytes`
				: undefined)
		);
	}

	#defaultDeadlineMs({service}: RequestHead): number {
		const {deadlineMs = defaultDeadlineMs} =
			this.config.view.value.get('service', service) ?? {};
		return deadlineMs;
	}

	#refuse(
		request: Omit<CallerRequest, 'arrivedAt' | 'deadline'>,
		message: string,
	): void {
		const {id, head, res} = request;
		const {customer, service} = head;
		const refusal: Refusal = {reason: 'bad-request', ran: 'not-run', message};
		this.log.info('refused', {id, customer, service, ...refusal});
		this.metrics.refused(service, refusal);
		this.metrics.ended(service, 'refused', 0);
		sendRefusal(res, id, refusal);
	}
}

function headOf(req: IncomingMessage): RequestHead {
	const [, service = ''] = (req.url ?? '/').split(/[/?]/);
	const customer = textOf(req.headers['x-customer']) ?? '';
	return {service, customer, key: textOf(req.headers['x-key'])};
}

function textOf(
	value: string | readonly string[] | undefined,
): string | undefined {
	return typeof value === 'string' ? value : undefined;
}
