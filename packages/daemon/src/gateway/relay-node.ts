/** The parts that speak with other daemons. A module of its own, so that a daemon without peers does not load gRPC. */
import {type Millis} from '@kingcuproute/core';
import {
	GrpcMesh,
	reportObserved,
	type MeshError,
	type ReportAnswerMessage,
	type ReportMessage,
} from '@kingcuproute/mesh';
import {type Address} from '@kingcuproute/platform';
import {type Either} from 'purify-ts';
import {PeerLink, type LinkContext} from './peer-link.js';
import {RelayAnswers, type AnswersContext} from './relay-answers.js';

/** Reports come each second. */
const reportCallMs: Millis = 900;

export type NodeContext = Omit<LinkContext, 'mesh'> &
	AnswersContext & {
		/** Takes the reports of other daemons. */
		readonly receive: (message: ReportMessage) => ReportAnswerMessage;
	};

export class RelayNode {
	readonly link: PeerLink;
	readonly #mesh: GrpcMesh;

	constructor(context: NodeContext) {
		this.#mesh = new GrpcMesh(context.clock);
		this.link = new PeerLink({...context, mesh: this.#mesh});
		new RelayAnswers(context).serveOn(this.#mesh);
		this.#mesh.serve(reportObserved, context.receive);
	}

	/** Sends reports to the daemon at `address`. */
	async report(
		address: string,
		message: ReportMessage,
	): Promise<Either<MeshError, ReportAnswerMessage>> {
		return this.#mesh.call(address, reportObserved, message, reportCallMs);
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
