/** Calls to other daemons, by address. */
import {type Millis} from '@kingcuproute/core';
import {type Either} from 'purify-ts';
import {type MeshError} from './mesh-error.js';
import {type Rpc} from './rpc.js';

/** Answers one kind of call from peers; throws to refuse. */
export type Handler<Q, A> = (question: Q) => Promise<A> | A;

/** Makes calls to other daemons and answers theirs. */
export abstract class Mesh {
	/** Calls the daemon at `address`; settles within `timeoutMs`. */
	abstract call<Q, A>(
		address: string,
		rpc: Rpc<Q, A>,
		question: Q,
		timeoutMs: Millis,
	): Promise<Either<MeshError, A>>;

	/** Registers the handler of one kind of call; must be called before `listen`. */
	abstract serve<Q, A>(rpc: Rpc<Q, A>, handler: Handler<Q, A>): void;
}
