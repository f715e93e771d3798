/** The platform's store in memory, as seen by one run of a daemon. It can be restored from a copy. */
import {
	eraOf,
	firstEra,
	numberOf,
	revisionIn,
	type Millis,
	type StoreEra,
} from '@kingcuproute/core';
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

/** The store's content at one moment. */
export type MemoryCopy = {
	readonly objects: ReadonlyMap<string, Version>;
	readonly lastNumber: number;
};

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
	#eraNumber = 0;
	#lastNumber = 1;
	/** The newest era that an answer named to this run. */
	#heard: StoreEra | undefined;

	constructor(
		private readonly vm: string,
		private readonly clock: RunClock,
		/** The store that holds the objects; undefined in that store itself. */
		private readonly shared?: MemoryStore,
	) {
		super();
	}

	override get era(): StoreEra {
		return this.#heard ?? {number: 0, since: -Infinity, isFirst: true};
	}

	/** Records that this run has had an answer of the store. */
	hear(): void {
		const number = (this.shared ?? this).#eraNumber;
		if (number > (this.#heard?.number ?? -1)) {
			const isFirst = number <= firstEra && !this.#heard;
			this.#heard = {number, since: this.clock.now(), isFirst};
		}
	}

	/** The present content, for `restore`. */
	copy(): MemoryCopy {
		return {objects: new Map(this.objects), lastNumber: this.#lastNumber};
	}

	/** Enters the next era with the content of a copy. */
	restore({objects, lastNumber}: MemoryCopy): void {
		this.#eraNumber++;
		this.#lastNumber = lastNumber;
		this.objects.clear();
		for (const [path, {revision, spec}] of objects) {
			this.objects.set(path, {
				revision: this.#revisionOf(numberOf(revision)),
				spec,
			});
		}
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

		if (
			write.revision !== undefined &&
			eraOf(write.revision) < this.era.number
		) {
			return objectStore.#conflictOf(write);
		}

		const result = objectStore.#apply(write);
		this.hear();
		if (result.isRight() && objectStore.unanswered.has(this.vm)) {
			await this.clock.sleep(callTimeoutMs);
			return Left<ObjectError>({kind: 'unknown', message: 'no answer'});
		}

		await this.clock.sleep(
			objectStore.slow.get(this.vm) ?? objectStore.answerMs,
		);
		return result;
	}

	/** The present revision. */
	get revision(): number {
		return this.#revisionOf(this.#lastNumber);
	}

	put(path: string, spec: unknown): Version {
		this.#lastNumber++;
		const next = {revision: this.#revisionOf(this.#lastNumber), spec};
		this.objects.set(path, next);
		return next;
	}

	override async remove() {
		return Right(undefined);
	}

	/** Carries a write out if the number of its revision is the object's, and answers as the client of the store does. */
	#apply(write: ObjectWrite): Either<ObjectError, StoredObject> {
		const {kind, name, revision, spec} = write;
		const path = `${kind}/${name}`;
		const current = this.objects.get(path);
		const isExpected =
			revision === undefined || !current
				? revision === current?.revision
				: numberOf(current.revision) === numberOf(revision);
		if (!isExpected) {
			return this.#conflictOf(write);
		}

		const object = storedObject(path, this.put(path, spec));
		return revision !== undefined && eraOf(revision) < this.#eraNumber
			? Left({kind: 'conflict', held: object})
			: Right(object);
	}

	#conflictOf({kind, name}: ObjectWrite): Either<ObjectError, never> {
		const path = `${kind}/${name}`;
		const current = this.objects.get(path);
		return Left(
			current
				? {kind: 'conflict', held: storedObject(path, current)}
				: {kind: 'missing'},
		);
	}

	#revisionOf(number: number): number {
		return revisionIn(this.#eraNumber, number)!;
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
