/** Reads a JSON file that holds one object, and validates it against its kind's schema. */
import {readFileSync} from 'node:fs';
import {
	validate,
	kindSchemas,
	type Fault,
	type Kind,
	type KindValue,
} from '@kingcuproute/core';
import {Left, type Either} from 'purify-ts';
import {type z} from 'zod';
import {invalid, type Failure} from './failure.js';

const standardInput = 0;

/** Reads and validates FILE, or standard input for "-"; the failure names every fault with its path. */
export function readDocument<K extends Kind>(
	kind: K,
	file: string,
): Either<Failure, KindValue<K>> {
	try {
		const text = readFileSync(file === '-' ? standardInput : file, 'utf8');
		const schema: z.ZodType = kindSchemas[kind];
		return validate(schema, JSON.parse(text))
			.map((value) => value as KindValue<K>)
			.mapLeft((faults) => invalid(formatFaults(file, faults)));
	} catch (error) {
		const message = error instanceof Error ? error.message : String(error);
		return Left(invalid(`${file}: ${message}`));
	}
}

function formatFaults(file: string, faults: readonly Fault[]): string {
	const texts = faults.map(({path, message}) => `${path}: ${message}`);
	return `${file}: ${texts.join('; ')}`;
}
