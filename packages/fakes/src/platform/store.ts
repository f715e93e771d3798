/** The objects of the stand-in platform, their versions, and the log of changes that watches read. */
export type StoredObject = {
	readonly kind: string;
	readonly name: string;
	readonly version: number;
	readonly value?: unknown;
};

/** The outcome of a write: the object as it is now, or the status with which it was refused. */
export type Outcome =
	| {readonly status: 200 | 201; readonly object: StoredObject}
	| {readonly status: 404 | 409 | 413};

const logLen = 5000;
const maxValueBytes = 1024 * 1024;

export class Store {
	version = 0;
	readonly #objects = new Map<string, StoredObject>();
	#log: StoredObject[] = [];
	readonly #listeners = new Set<(object: StoredObject) => void>();

	get(kind: string, name: string): StoredObject | undefined {
		const object = this.#objects.get(`${kind}/${name}`);
		return object?.value === undefined ? undefined : object;
	}

	list(): readonly StoredObject[] {
		return [...this.#objects.values()].filter(
			(object) => object.value !== undefined,
		);
	}

	create(kind: string, name: string, value: unknown): Outcome {
		return this.get(kind, name)
			? {status: 409}
			: this.#put({kind, name, value}, 201);
	}

	update(kind: string, name: string, version: number, value: unknown): Outcome {
		const current = this.get(kind, name);
		if (!current) {
			return {status: 404};
		}

		return current.version === version
			? this.#put({kind, name, value}, 200)
			: {status: 409};
	}

	delete(kind: string, name: string, version: number): Outcome {
		const current = this.get(kind, name);
		if (!current) {
			return {status: 404};
		}

		return current.version === version
			? this.#put({kind, name}, 200)
			: {status: 409};
	}

	/** Changes after `version`; undefined if the log no longer holds them all. */
	since(version: number): readonly StoredObject[] | undefined {
		const oldest = this.#log[0]?.version ?? this.version + 1;
		return version + 1 < oldest && version < this.version
			? undefined
			: this.#log.filter((object) => object.version > version);
	}

	/** Calls `listener` for every change, until the returned function is called. */
	listen(listener: (object: StoredObject) => void): () => void {
		this.#listeners.add(listener);
		return () => this.#listeners.delete(listener);
	}

	#put(object: Omit<StoredObject, 'version'>, status: 200 | 201): Outcome {
		if (JSON.stringify(object.value ?? null).length > maxValueBytes) {
			return {status: 413};
		}

		const stored = {...object, version: ++this.version};
		this.#objects.set(`${object.kind}/${object.name}`, stored);
		this.#log = [...this.#log, stored].slice(-logLen);
		for (const listener of this.#listeners) {
			listener(stored);
		}

		return {status, object: stored};
	}
}
