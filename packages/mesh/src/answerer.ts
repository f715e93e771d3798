/** Answers peers' calls: small ones, which share one stream per peer, and unary ones. */
import {
	Server,
	ServerCredentials,
	status,
	type ServiceError,
	type UntypedHandleCall,
	type ServiceDefinition,
} from '@grpc/grpc-js';
import {type Clock, type Millis} from '@kingcuproute/core';
import {serverOptions} from './channel-options.js';
import {type Handler} from './mesh.js';
import {type Rpc} from './rpc.js';
import {SharedAnswers, type SharedQuestions} from './shared-answers.js';
import {carry} from './shared-rpc.js';
import {
	definitionOf,
	serializerOf,
	type MethodDefinition,
	type Serializer,
} from './wire.js';

const streamIdleMs: Millis = 180_000;

type Services = Record<
	string,
	{definition: ServiceDefinition; handlers: Record<string, UntypedHandleCall>}
>;

type Responder = (body: Uint8Array) => Promise<Uint8Array>;

export class Answerer {
	readonly #server = new Server(serverOptions);
	readonly #services: Services = {};
	readonly #responders = new Map<string, Responder>();
	readonly #streams = new Set<SharedAnswers>();

	constructor(private readonly clock: Clock) {
		const handle = (call: SharedQuestions) => {
			this.#addStream(call);
		};

		const question = serializerOf(carry.question);
		const answer = serializerOf(carry.answer);
		this.#addMethod(
			definitionOf(carry, 'duplex', question, answer),
			handle as UntypedHandleCall,
		);
	}

	/** Registers the handler of one kind of call; must be called before `listen`. */
	serve<Q, A>(
		rpc: Rpc<Q, A>,
		question: Serializer<Q>,
		answer: Serializer<A>,
		handler: Handler<Q, A>,
	): void {
		this.#addMethod(
			definitionOf(rpc, 'unary', question, answer),
			unaryHandler(handler),
		);
		this.#responders.set(rpc.path, async (body) =>
			answer.encode(await handler(question.decode(body))),
		);
	}

	/** Listens on `address` (host:port, port 0 for any free one); returns the port. */
	async listen(address: string): Promise<number> {
		for (const {definition, handlers} of Object.values(this.#services)) {
			this.#server.addService(definition, handlers);
		}

		return new Promise((resolve, reject) => {
			this.#server.bindAsync(
				address,
				ServerCredentials.createInsecure(),
				(error, port) => {
					if (error) {
						reject(error);
					} else {
						resolve(port);
					}
				},
			);
		});
	}

	/** Ends the streams on which no question came for `streamIdleMs`, as the peer may be gone. */
	sweep(): void {
		const oldest = this.clock.now() - streamIdleMs;
		for (const answers of this.#streams) {
			if (answers.lastReceivedAt < oldest) {
				answers.end();
			}
		}
	}

	/** Stops listening and cancels running calls. */
	close(): void {
		this.#server.forceShutdown();
	}

	#addMethod(call: MethodDefinition, handle: UntypedHandleCall): void {
		const [, service, method] = call.path.split('/') as [
			string,
			string,
			string,
		];
		this.#services[service] ??= {definition: {}, handlers: {}};
		const {definition, handlers} = this.#services[service];
		Object.assign(definition, {[method]: call});
		handlers[method] = handle;
	}

	#addStream(call: SharedQuestions): void {
		const answers: SharedAnswers = new SharedAnswers(
			call,
			this.clock,
			async (path, body) => {
				const respond = this.#responders.get(path);
				if (!respond) {
					throw new RangeError(`no call ${path}`);
				}

				return respond(body);
			},
			() => {
				this.#streams.delete(answers);
			},
		);
		this.#streams.add(answers);
	}
}

function unaryHandler<Q, A>(handler: Handler<Q, A>): UntypedHandleCall {
	const handle = async (
		call: {request: Q},
		done: (error: Partial<ServiceError> | undefined, answer?: A) => void,
	) => {
		try {
			done(undefined, await handler(call.request));
		} catch (error) {
			done({code: status.FAILED_PRECONDITION, details: String(error)});
		}
	};

	return handle as unknown as UntypedHandleCall;
}
