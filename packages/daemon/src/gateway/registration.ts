/**
 * This daemon's entry in the list of those that share the backend servers, in the platform's
 * store. Written at the start and removed at the stop, and written again when the list no
 * longer has it, since the store may be restored from a copy that is older than the entry.
 */
import {isDeepStrictEqual} from 'node:util';
import {type Clock, type Millis, type Random} from '@kingcuproute/core';
import {
	daemonsKind,
	daemonSpec,
	errorText,
	type Deployment,
	type ObjectError,
	type ObjectStore,
} from '@kingcuproute/platform';
import {type Log} from '../log/log.js';
import {type KindFollower, type Objects} from './kind-follower.js';

/** Between two attempts to register; jittered, because all daemons try at once after an outage of the store. */
const registerRetryMs: Millis = 1000;

export type RegistrationContext = {
	readonly deployment: Deployment;
	readonly store: ObjectStore;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	/** Follows the list. */
	readonly daemons: Pick<KindFollower, 'objects' | 'revision'>;
};

export class Registration {
	/** The revision at which the list had the entry; undefined while it is being written. */
	#listedAt: number | undefined;
	#stopped = false;

	constructor(private readonly context: RegistrationContext) {}

	start(): void {
		this.context.daemons.objects.subscribe((objects) => {
			this.#check(objects);
		});
		void this.#register();
	}

	async stop(): Promise<void> {
		this.#stopped = true;
		const {store, deployment, log} = this.context;
		const removed = await store.remove(daemonsKind, deployment.vm);
		removed.ifLeft((error) => {
			log.warn('not-deregistered', {error: errorText(error)});
		});
	}

	#check(objects: Objects | undefined): void {
		const {deployment, daemons, log} = this.context;
		const isLost =
			objects !== undefined &&
			!objects.has(deployment.vm) &&
			this.#listedAt !== undefined &&
			(daemons.revision ?? 0) > this.#listedAt;
		if (isLost && !this.#stopped) {
			log.warn('registration-lost', {daemons: objects.size});
			void this.#register();
		}
	}

	async #register(): Promise<void> {
		const {store, clock, random, log, deployment} = this.context;
		const {vm} = deployment;
		const spec = daemonSpec(deployment);
		let revision: number | undefined;
		this.#listedAt = undefined;
		while (!this.#stopped) {
			const written = await store.write({
				kind: daemonsKind,
				name: vm,
				revision,
				spec,
			});
			if (written.isRight()) {
				this.#listedAt = written.unsafeCoerce().revision;
				return;
			}

			const error = written.extract() as ObjectError;
			if (error.kind === 'conflict') {
				// A former run on this VM has left its entry.
				const {held} = error;
				if (isDeepStrictEqual(held?.spec, spec)) {
					this.#listedAt = held?.revision;
					return;
				}

				if (!held) {
					await store.remove(daemonsKind, vm);
				}

				revision = held?.revision;
				continue;
			}

			revision = undefined;
			log.warn('not-registered', {error: errorText(error)});
			await clock.sleep(random.jitter(registerRetryMs));
		}
	}
}
