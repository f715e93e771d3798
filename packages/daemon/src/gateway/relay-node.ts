/** The parts that speak with other daemons. A module of its own, so that a daemon without peers does not load gRPC. */
import {GrpcMesh} from '@kingcuproute/mesh';
import {type Address} from '@kingcuproute/platform';
import {PeerLink, type LinkContext} from './peer-link.js';
import {RelayAnswers, type AnswersContext} from './relay-answers.js';

export type NodeContext = Omit<LinkContext, 'mesh'> & AnswersContext;

export class RelayNode {
	readonly link: PeerLink;
	readonly #mesh: GrpcMesh;

	constructor(context: NodeContext) {
		this.#mesh = new GrpcMesh(context.clock);
		this.link = new PeerLink({...context, mesh: this.#mesh});
		new RelayAnswers(context).serveOn(this.#mesh);
	}

	/** Listens for other daemons; returns the port. */
	async listen({host, port}: Address): Promise<number> {
		const name = host.includes(':') ? `[${host}]` : host;
		return this.#mesh.listen(`${name}:${port}`);
	}

	close(): void {
		this.link.close();
		this.#mesh.close();
	}
}

export function createNode(context: NodeContext): RelayNode {
	return new RelayNode(context);
}
