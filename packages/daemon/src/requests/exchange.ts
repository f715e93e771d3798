/** One request of a caller, from its headers to the end of its answer. */
import {fold} from '@kingcuproute/core';
import {Admission} from './admission.js';
import {type CallerRequest, type Dependencies} from './caller-request.js';
import {Attempts} from './attempts.js';
import {Reply} from './reply.js';
import {type RequestOutcome} from './request-metrics.js';
import {type RequestBody} from './request-body.js';

export class Exchange {
	#attempts: Attempts | undefined;
	#cancelled = false;
	readonly #admission: Admission;
	readonly #reply: Reply;

	constructor(
		private readonly deps: Dependencies,
		readonly request: CallerRequest,
	) {
		this.#admission = new Admission(deps, request);
		this.#reply = new Reply(deps, request);
		request.res.once('close', () => {
			if (!request.res.writableFinished) {
				this.cancel();
			}
		});
	}

	/** Cancels the attempts: the caller went away, or a stopping daemon closed its connection. */
	cancel(): void {
		this.#cancelled = true;
		this.#attempts?.cancel();
	}

	/** Resolves once the request is answered, refused, cut or cancelled. */
	async run(): Promise<RequestOutcome> {
		return fold(
			this.deps.limits.admitCustomer(this.request.head.customer),
			async (refusal) => this.#reply.refuse(refusal),
			async ({release}) => {
				try {
					return await this.#run();
				} finally {
					release();
				}
			},
		);
	}

	async #run(): Promise<RequestOutcome> {
		return fold(
			await this.#admission.body(),
			async (refusal) => this.#reply.refuse(refusal),
			async (body) => this.#admit(body),
		);
	}

	async #admit(body: RequestBody): Promise<RequestOutcome> {
		if (this.#cancelled) {
			return 'cancelled';
		}

		return fold(
			await this.#admission.admit(body),
			async (refusal) => this.#reply.refuse(refusal),
			async (admitted) => {
				const {deps, request} = this;
				const attempts = new Attempts(deps, request, admitted, this.#reply);
				this.#attempts = attempts;
				return this.#cancelled ? 'cancelled' : attempts.run();
			},
		);
	}
}
