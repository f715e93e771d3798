/**
 * Reads the fields of a document one by one. A field that does not match its schema is
 * replaced by a fallback and listed as a fault, so that it costs nothing beside itself.
 */
import {fold, validate, type Fault} from '@kingcuproute/core';
import {type z} from 'zod';

export class FieldReader {
	readonly #faults: Fault[] = [];

	/** What could not be read so far. */
	get faults(): readonly Fault[] {
		return this.#faults;
	}

	/** The value at `path`, or `fallback` if it does not match the schema. */
	read<T>(path: string, schema: z.ZodType<T>, value: unknown, fallback: T): T {
		return fold(
			validate(schema, value),
			([{message}]) => {
				this.#faults.push({path, message});
				return fallback;
			},
			(read) => read,
		);
	}

	/** Reads as `read`, but a fault does not show the value, which may hold a secret. */
	readConcealed<T>(
		path: string,
		schema: z.ZodType<T>,
		value: unknown,
		fallback: T,
	): T {
		const parsed = schema.safeParse(value);
		if (parsed.success) {
			return parsed.data;
		}

		this.report(path, parsed.error.issues[0].message);
		return fallback;
	}

	/** Lists a fault that no schema of a single field expresses. */
	report(path: string, message: string): void {
		this.#faults.push({path, message});
	}
}
