/** Metrics of the daemon on the platform, served beside the readiness checks. The configuration and the code limit the number of label values. */
import {type KeyFault, type Millis, type PeerFault} from '@kingcuproute/core';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
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

/** What following the store has cost since the start. */
export type FollowingCost = {
	/** By kind of object and call. */
	readonly storeCalls: ReadonlyMap<string, number>;
	/** Bytes of objects that peers have sent, by kind. */
	readonly peerBytes: ReadonlyMap<string, number>;
};

/** Why keys move. */
export type MoveCause = 'servers' | 'load';

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

	readonly #movedKeys = new Counter({
		name: 'kingcuproute_gateway_moved_keys_total',
		help: 'Keys that this daemon has planned to move, by service and cause: a server lost, leaving or new, or load',
		labelNames: ['service', 'cause'] as const,
		registers: [this.#registry],
	});

	readonly #storeCalls = new Counter({
		name: 'kingcuproute_gateway_store_calls_total',
		help: 'Calls to the store, by kind of object and call; a list of several pages counts once',
		labelNames: ['kind', 'call'] as const,
		registers: [this.#registry],
	});

	readonly #peerBytes = new Counter({
		name: 'kingcuproute_gateway_peer_bytes_total',
		help: 'Bytes of objects of the store that peers have sent to this daemon, by kind of object',
		labelNames: ['kind'] as const,
		registers: [this.#registry],
	});

	readonly #bytesMoved = new Counter({
		name: 'kingcuproute_gateway_server_bytes_total',
		help: 'Bytes of request and answer bodies exchanged with backend servers, as far as their length is stated, by failure domain: own or other',
		labelNames: ['domain'] as const,
		registers: [this.#registry],
	});

	readonly #refusedKeys = new Counter({
		name: 'kingcuproute_gateway_refused_keys_total',
		help: 'Requests refused for their API key: missing, malformed or unknown',
		labelNames: ['cause'] as const,
		registers: [this.#registry],
	});

	readonly #customerRequests = new Counter({
		name: 'kingcuproute_gateway_customer_requests_total',
		help: 'Requests of customers with a quota: admitted, or refused as over-quota',
		labelNames: ['customer', 'outcome'] as const,
		registers: [this.#registry],
	});

	readonly #reads = new Counter({
		name: 'kingcuproute_gateway_reads_total',
		help: 'Readings of kinds of object that the daemon follows, by source: a peer or the store',
		labelNames: ['source'] as const,
		registers: [this.#registry],
	});

	readonly #peerFaults = new Counter({
		name: 'kingcuproute_gateway_peer_faults_total',
		help: 'Peers that were not fit to read from: silent, not-current or store-fails',
		labelNames: ['fault'] as const,
		registers: [this.#registry],
	});

	readonly #storeFallbacks = new Counter({
		name: 'kingcuproute_gateway_store_fallbacks_total',
		help: 'Changes from peers to the store because no peer was fit to read from',
		registers: [this.#registry],
	});

	readonly #queued = new Gauge({
		name: 'kingcuproute_gateway_queued_requests',
		help: 'Requests that wait in this daemon until a server has room, by service',
		labelNames: ['service'] as const,
		registers: [this.#registry],
	});

	readonly #queueExits = new Counter({
		name: 'kingcuproute_gateway_queue_exits_total',
		help: 'Requests that found no room: tried again, refused, evicted from a full queue, or withdrawn',
		labelNames: ['service', 'exit'] as const,
		registers: [this.#registry],
	});

	readonly #queueWaits = new Histogram({
		name: 'kingcuproute_gateway_queue_seconds',
		help: 'Time from the arrival of a request that found no room to its end in the queue',
		labelNames: ['service'] as const,
		buckets: [0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2],
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

	/** Counts a request that starts to wait; each later leaves by `queueLeft`. */
	queueEntered(service: string): void {
		this.#queued.inc({service});
	}

	queueLeft(
		service: string,
		exit: 'tried' | 'refused' | 'evicted' | 'withdrawn',
		waitedMs: Millis,
	): void {
		this.#queued.dec({service});
		this.#queueExits.inc({service, exit});
		this.#queueWaits.observe({service}, waitedMs / secondMs);
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

	/** Counts the content of objects that a peer has sent. */
	peerSent(kind: string, len: number): void {
		this.#peerBytes.inc({kind}, len);
	}

	async followingCost(): Promise<FollowingCost> {
		const [calls, bytes] = await Promise.all([
			this.#storeCalls.get(),
			this.#peerBytes.get(),
		]);
		return {
			storeCalls: new Map(
				calls.values.map(({labels: {kind, call}, value}) => [
					`${kind}/${call}`,
					value,
				]),
			),
			peerBytes: new Map(
				bytes.values.map(({labels: {kind}, value}) => [String(kind), value]),
			),
		};
	}

	keyRefused(cause: KeyFault): void {
		this.#refusedKeys.inc({cause});
	}

	quotaApplied(customer: string, outcome: 'admitted' | 'over-quota'): void {
		this.#customerRequests.inc({customer, outcome});
	}

	readFrom(source: 'peer' | 'store'): void {
		this.#reads.inc({source});
	}

	peerFailed(fault: PeerFault): void {
		this.#peerFaults.inc({fault});
	}

	fellBackToStore(): void {
		this.#storeFallbacks.inc();
	}

	keysMoved(service: string, cause: MoveCause, keys: number): void {
		this.#movedKeys.inc({service, cause}, keys);
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
