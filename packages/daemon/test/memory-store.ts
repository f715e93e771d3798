/** The platform's store in memory, as seen by one run of a daemon. */
import {type Millis} from '@kingcuproute/core';
import {
	ObjectStore,
	type ObjectError,
	type ObjectWrite,
	type StoredObject,
} from '@kingcuproute/platform';
import {Left, Right, type Either} from 'purify-ts';
import {type RunClock} from './run-clock.js';

/** After this time a daemon gives up a call. */
const callTimeoutMs: Millis = 1500;

type Version = {readonly revision: number; readonly spec: unknown};

/** Objects in memory, with conditional writes. In place of a watch, the test calls the readers' `update`. */
export class MemoryStore extends ObjectStore {
	readonly objects = new Map<string, Version>();
	/** VMs of daemons that do not reach the store. */
	readonly cut = new Set<string>();
	/** VMs whose writes are applied but not answered. */
	readonly unanswered = new Set<string>();
	/** VMs whose writes are not answered, and the delay after which they are applied. */
	readonly late = new Map<string, Millis>();
	/** VMs whose writes are answered after a delay of their own instead of `answerMs`. */
	readonly slow = new Map<string, Millis>();
	/** Delay between applying a write and its answer. */
	answerMs: Millis = 0;
	#lastRevision = 1;

	constructor(
		private readonly vm: string,
		private readonly clock: RunClock,
		/** The store that holds the objects; undefined in that store itself. */
		private readonly shared?: MemoryStore,
	) {
		super();
	}

	override async list(kind: string) {
		const objects = [...this.#allObjects()]
			.filter(([path]) => path.startsWith(`${kind}/`))
			.map(([path, version]) => storedObject(path, version));
		return Right({revision: 0, objects});
	}

	override async watch(): Promise<Either<ObjectError, never>> {
		return Left({kind: 'expired'});
	}

	override async write(write: ObjectWrite) {
		const objectStore = this.shared ?? this;
		if (objectStore.cut.has(this.vm)) {
			return Left<ObjectError>({kind: 'unknown', message: 'cut off'});
		}

		const lateMs = objectStore.late.get(this.vm);
		if (lateMs !== undefined) {
			objectStore.clock.after(lateMs, () => objectStore.#apply(write));
			await this.clock.sleep(callTimeoutMs);
			return Left<ObjectError>({kind: 'unknown', message: 'no answer'});
		}

		const result = objectStore.#apply(write);
		if (result.isRight() && objectStore.unanswered.has(this.vm)) {
			await this.clock.sleep(callTimeoutMs);
			return Left<ObjectError>({kind: 'unknown', message: 'no answer'});
		}

		await this.clock.sleep(
			objectStore.slow.get(this.vm) ?? objectStore.answerMs,
		);
		return result;
	}

	put(path: string, spec: unknown): Version {
		this.#lastRevision++;
		const next = {revision: this.#lastRevision, spec};
		this.objects.set(path, next);
		return next;
	}

	override async remove() {
		return Right(undefined);
	}

	#apply({
		kind,
		name,
		revision,
		spec,
	}: ObjectWrite): Either<ObjectError, StoredObject> {
		const path = `${kind}/${name}`;
		const current = this.objects.get(path);
		return current?.revision === revision
			? Right(storedObject(path, this.put(path, spec)))
			: Left({kind: 'conflict', held: current && storedObject(path, current)});
	}

	#allObjects() {
		return (this.shared ?? this).objects;
	}
}

export function storedObject(
	path: string,
	{revision, spec}: Version,
): StoredObject {
	const name = path.slice(path.indexOf('/') + 1);
	return {name, revision, spec, status: undefined, rest: {}};
}
