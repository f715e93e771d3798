/** Requests releases from other daemons and answers their requests. A release is recorded in the server's state before it is sent. */
import {
	fold,
	sliceTableSchema,
	type Clock,
	type Millis,
	type Succession,
} from '@kingcuproute/core';
import {
	release,
	type Mesh,
	type ReleaseAnswerMessage,
	type ReleaseMessage,
} from '@kingcuproute/mesh';
import {type ConfigTask} from '../fleet/config-task.js';
import {type Log} from '../log/log.js';
import {
	releaseAnswerMessage,
	releaseRequestOf,
	type Charge,
} from './guard-messages.js';
import {type GuardedServers} from './guarded-servers.js';

/** Another daemon's clock may run slower by one part in a thousand. */
const driftFactor = 1.001;

export type ReleaseExchangeParts = {
	readonly self: string;
	readonly mesh: Mesh;
	readonly clock: Clock;
	readonly log: Log;
	readonly config: ConfigTask;
	readonly servers: GuardedServers;
	/** How long a request waits for its answer. */
	readonly answerTimeoutMs: Millis;
	readonly addressOf: (daemon: string) => string | undefined;
	/** Called after a release has been applied to a server's state. */
	readonly onConsent: (server: string) => void;
	/** Called after another daemon's request has been decided, whether granted or refused. */
	readonly onRequest: () => void;
};

export class ReleaseExchange {
	/** Starts answering other daemons' requests. */
	constructor(private readonly parts: ReleaseExchangeParts) {
		parts.mesh.serve(release, (request) => this.#answer(request));
	}

	/** Requests a release from a daemon; its answer is applied to the server's state. */
	async ask(
		charge: Charge,
		daemon: string,
		plan: Succession['rows'],
	): Promise<void> {
		const {self, mesh, log, config, answerTimeoutMs, addressOf} = this.parts;
		const address = addressOf(daemon);
		if (address === undefined) {
			return;
		}

		const request: ReleaseMessage = {
			from: self,
			of: daemon,
			charge,
			plan: [...plan],
			tableVersion: config.view.value.versionOf('table', charge.service),
		};
		const answer = await mesh.call(address, release, request, answerTimeoutMs);
		fold(
			answer,
			({message}) => {
				log.debug('release-unanswered', {of: daemon, error: message});
			},
			(message) => {
				this.#receive(charge, daemon, message);
			},
		);
	}

	#receive(charge: Charge, daemon: string, answer: ReleaseAnswerMessage): void {
		const {log, clock, config, servers, onConsent} = this.parts;
		const {server, service, term} = charge;
		const {released, reason, leaseLeftMs, tableVersion, table} = answer;
		log.info(released ? 'release-received' : 'release-refused', {
			server,
			term,
			of: daemon,
			...(!released && {reason: reason ?? ''}),
		});
		if (!released) {
			return;
		}

		const version = tableVersion ?? 0;
		if (table) {
			const value = sliceTableSchema.parse(JSON.parse(table));
			config.applyObjects([{kind: 'table', name: service, version, value}]);
		}

		const leaseOverAt = clock.now() + (leaseLeftMs ?? 0) * driftFactor;
		const consent = {term, leaseOverAt, tableVersion: version};
		servers.applyEvent(server, {kind: 'consent', from: daemon, consent});
		onConsent(server);
	}

	#answer(message: ReleaseMessage): ReleaseAnswerMessage {
		const {self, clock, log, config, servers, onRequest} = this.parts;
		if (message.of !== self) {
			return {released: false, reason: `this is ${self}`};
		}

		const service = message.charge?.service ?? '';
		const server = message.charge?.server ?? '';
		const request = releaseRequestOf(message);
		const answer = servers.release(service, server, request, clock.now());
		onRequest();
		const {from, term} = request;
		log.info(
			answer.kind === 'released' ? 'release-given' : 'release-withheld',
			{
				service,
				server,
				term,
				to: from,
				...(answer.kind === 'refused' && {reason: answer.reason}),
			},
		);
		const view = config.view.value;
		const isNewer =
			view.versionOf('table', service) > (message.tableVersion ?? 0);
		return releaseAnswerMessage(
			answer,
			isNewer ? view.get('table', service) : undefined,
		);
	}
}
