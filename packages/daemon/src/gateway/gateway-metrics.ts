/** Metrics of the daemon on the platform, served beside the readiness checks. The configuration and the code limit the number of label values. */
import {type Millis} from '@kingcuproute/core';
import {Counter, Histogram, Registry} from 'prom-client';
import {singleton} from 'tsyringe';

/** The path of the metrics at the readiness address. */
export const metricsPath = '/metrics';

const secondMs: Millis = 1000;
/** Requests are counted in batches of this many, which takes half the time of one by one. */
const batchLen = 200;

type EndedRequest = {
	readonly service: string;
	readonly outcome: string;
	readonly tookMs: Millis;
};

@singleton()
export class GatewayMetrics {
	readonly #registry = new Registry();
	/** Requests and bytes that are not in the metrics yet. */
	#ended: EndedRequest[] = [];
	readonly #movedLens = {own: 0, other: 0};
	readonly #requests = new Counter({
		name: 'kingcuproute_gateway_requests_total',
		help: 'Requests that have ended, by service and by outcome or reason of refusal',
		labelNames: ['service', 'outcome'] as const,
		registers: [this.#registry],
	});

	readonly #durations = new Histogram({
		name: 'kingcuproute_gateway_request_seconds',
		help: 'Time from the arrival of a request to the end of its handling',
		labelNames: ['service'] as const,
		buckets: [0.03, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 3, 5, 10],
		registers: [this.#registry],
	});

	readonly #unreadable = new Counter({
		name: 'kingcuproute_gateway_unreadable_total',
		help: 'Objects of the store, and fields of the configuration, that could not be read',
		labelNames: ['kind'] as const,
		registers: [this.#registry],
	});

	readonly #notices = new Counter({
		name: 'kingcuproute_gateway_server_notices_total',
		help: 'Notices in answers of backend servers: leaving, hold, or malformed',
		labelNames: ['notice'] as const,
		registers: [this.#registry],
	});

	readonly #warmthChanges = new Counter({
		name: 'kingcuproute_gateway_warmth_changes_total',
		help: 'Backend servers that became cold, or warm again, as far as this daemon knows',
		labelNames: ['warmth'] as const,
		registers: [this.#registry],
	});

	readonly #warmthChecks = new Counter({
		name: 'kingcuproute_gateway_warmth_checks_total',
		help: 'Backend servers asked whether they are cold: answered or unanswered',
		labelNames: ['outcome'] as const,
		registers: [this.#registry],
	});

	readonly #storeCalls = new Counter({
		name: 'kingcuproute_gateway_store_calls_total',
		help: 'Calls to the store, by kind of object and call; a list of several pages counts once',
		labelNames: ['kind', 'call'] as const,
		registers: [this.#registry],
	});

	readonly #bytesMoved = new Counter({
		name: 'kingcuproute_gateway_server_bytes_total',
		help: 'Bytes of request and answer bodies exchanged with backend servers, as far as their length is stated, by failure domain: own or other',
		labelNames: ['domain'] as const,
		registers: [this.#registry],
	});

	get contentType(): string {
		return this.#registry.contentType;
	}

	/** The metrics in the text format of Prometheus. */
	async text(): Promise<string> {
		this.#countBatch();
		return this.#registry.metrics();
	}

	/** Counts a request; `service` is undefined if it matched no route. */
	requestEnded(
		service: string | undefined,
		outcome: string,
		tookMs: Millis,
	): void {
		this.#ended.push({service: service ?? 'none', outcome, tookMs});
		if (this.#ended.length >= batchLen) {
			this.#countBatch();
		}
	}

	unreadable(kind: string, count: number): void {
		this.#unreadable.inc({kind}, count);
	}

	storeCalled(
		kind: string,
		call: 'list' | 'list-stale' | 'watch' | 'watch-stale' | 'write' | 'remove',
	): void {
		this.#storeCalls.inc({kind, call});
	}

	warmthChanged(warmth: 'cold' | 'warm'): void {
		this.#warmthChanges.inc({warmth});
	}

	warmthChecked(outcome: 'answered' | 'unanswered'): void {
		this.#warmthChecks.inc({outcome});
	}

	bytesMoved(domain: 'own' | 'other', len: number): void {
		this.#movedLens[domain] += len;
	}

	serverNotice(notice: 'leaving' | 'hold' | 'malformed'): void {
		this.#notices.inc({notice});
	}

	#countBatch(): void {
		for (const {service, outcome, tookMs} of this.#ended) {
			this.#requests.inc({service, outcome});
			this.#durations.observe({service}, tookMs / secondMs);
		}

		this.#ended = [];
		for (const domain of ['own', 'other'] as const) {
			this.#bytesMoved.inc({domain}, this.#movedLens[domain]);
			this.#movedLens[domain] = 0;
		}
	}
}
