/** Calls between daemons of a played fleet, of which some do not answer. */
import {type Millis} from '@kingcuproute/core';
import {Mesh, type Handler, type MeshError, type Rpc} from '@kingcuproute/mesh';
import {Left, Right, type Either} from 'purify-ts';
import {type ManualClock} from './timers.js';

export class SilentMesh extends Mesh {
	readonly silent = new Set<string>();
	/** How long each message takes. */
	delayMs: Millis = 1;
	/** Handlers are registered for this daemon. */
	at = '';
	readonly #handlers = new Map<string, (question: unknown) => unknown>();

	constructor(private readonly clock: ManualClock) {
		super();
	}

	override serve<Q, A>({path}: Rpc<Q, A>, handler: Handler<Q, A>): void {
		this.#handlers.set(`${this.at} ${path}`, handler as () => unknown);
	}

	override async call<Q, A>(
		address: string,
		{path}: Rpc<Q, A>,
		question: Q,
		timeoutMs: Millis,
	): Promise<Either<MeshError, A>> {
		const handler = this.#handlers.get(`${address} ${path}`)!;
		const late = async () => {
			await this.clock.sleep(timeoutMs);
			return Left<MeshError>({kind: 'unreachable', message: 'late'});
		};

		const answer = async () => {
			await this.clock.sleep(this.delayMs);
			try {
				const answered = (await handler(question)) as A;
				await this.clock.sleep(this.delayMs);
				return this.silent.has(address) ? await late() : Right(answered);
			} catch (error) {
				return Left<MeshError>({kind: 'refused', message: String(error)});
			}
		};

		return this.silent.has(address) ? late() : Promise.race([answer(), late()]);
	}
}
